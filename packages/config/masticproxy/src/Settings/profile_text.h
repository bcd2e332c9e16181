#ifndef MASTICPROXY_SETTINGS_PROFILE_TEXT_H
#define MASTICPROXY_SETTINGS_PROFILE_TEXT_H

#include <string>
#include <string_view>

namespace masticproxy {

struct profile;

/// Reads the profile called \p Name from its TOML \p Text.
/// \throws settings_error with all problems at once.
profile readProfile(std::string_view Text, std::string_view Name);

/// \returns \p Profile as a TOML text, which reads as the same profile.
std::string profileText(const profile &Profile);

} // namespace masticproxy

#endif
