#ifndef MASTICPROXY_ADMISSION_ADMISSION_H
#define MASTICPROXY_ADMISSION_ADMISSION_H

#include "masticproxy/src/Admission/admission_refusal.h"
#include "masticproxy/src/Admission/profile_load.h"
#include "masticproxy/src/Base/clock.h"

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace masticproxy {

struct profile;

/// \brief Decides which requests a VM takes on.
///
/// Half of the places is reserved for the profiles in equal parts, the other
/// half goes to whoever comes first. A profile that has more under way than
/// will be answered within its wait gets no further place.
class admission {
public:
  /// Takes up to \p Places requests on at a time.
  explicit admission(std::size_t Slots) : Slots(Slots) {}

  /// Replaces the profiles that places are reserved for.
  void setProfiles(std::span<const std::string> Names);

  /// Takes a request of \p Profile on. \returns nothing, or why not.
  std::optional<admission_refusal> admit(const profile &Profile);

  /// Notes that a request that was taken on at \p Start ends.
  void onRequestFinished(const profile &Profile, time_point Start,
                         bool Answered, time_point Now);

  /// \returns the requests taken on and not yet ended.
  std::size_t running() const { return Running; }

  /// \returns the places that are reserved for each profile.
  std::size_t reservedPerProfile() const;

private:
  bool hasFreeSlot(std::string_view Name) const;

  std::size_t Slots;
  std::size_t Running = 0;
  std::map<std::string, profile_load, std::less<>> Profiles;
};

} // namespace masticproxy

#endif
