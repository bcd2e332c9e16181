#ifndef MASTICPROXY_SETTINGS_PROFILE_TEXT_H
#define MASTICPROXY_SETTINGS_PROFILE_TEXT_H

#include <string_view>

namespace masticproxy {

struct profile;

/// Reads the profile called \p Name from its TOML \p Text.
/// \throws settings_error with all problems at once.
profile readProfile(std::string_view Text, std::string_view Name);

} // namespace masticproxy

#endif
