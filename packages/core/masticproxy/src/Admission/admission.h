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

/// \brief Decides which requests a VM admits.
///
/// Half of the slots are reserved for the profiles in equal parts; the other
/// half is granted in order of arrival. After a request of a profile was late,
/// the profile's requests in flight are also limited to those likely to be
/// answered within its wait; see profile_load.
class admission {
public:
  /// Admits up to \p Slots requests at a time.
  explicit admission(std::size_t Slots) : Slots(Slots) {}

  /// Replaces the profiles that slots are reserved for. A profile that is no
  /// longer listed is dropped unless it has requests in flight.
  void setProfiles(std::span<const std::string> Names);

  /// Admits a request of \p Profile. \returns nothing, or the reason why it is
  /// refused.
  std::optional<admission_refusal> admit(const profile &Profile);

  /// Called when a request that was admitted at \p Start has ended.
  /// \p Answered holds if it ended with an answer.
  void onRequestFinished(const profile &Profile, time_point Start,
                         bool Answered, time_point Now);

  /// \returns the number of requests admitted and not yet ended.
  std::size_t running() const { return Running; }

  /// \returns the number of slots that are reserved for each profile.
  std::size_t reservedPerProfile() const;

private:
  bool hasFreeSlot(std::string_view Name) const;

  std::size_t Slots;
  std::size_t Running = 0;
  std::map<std::string, profile_load, std::less<>> Profiles;
};

} // namespace masticproxy

#endif
