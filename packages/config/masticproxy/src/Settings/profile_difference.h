#ifndef MASTICPROXY_SETTINGS_PROFILE_DIFFERENCE_H
#define MASTICPROXY_SETTINGS_PROFILE_DIFFERENCE_H

#include <string>
#include <string_view>
#include <vector>

namespace masticproxy {

/// \brief One key whose value differs between two texts of a profile.
struct profile_difference {
  std::string Key;
  std::string Left;
  std::string Right;

  bool operator==(const profile_difference &) const = default;
};

/// \returns the keys whose values differ, defaults filled in, in the order of
/// the reference page. \throws settings_error where a text is no profile.
std::vector<profile_difference> compareProfiles(std::string_view Left,
                                                std::string_view Right);

} // namespace masticproxy

#endif
