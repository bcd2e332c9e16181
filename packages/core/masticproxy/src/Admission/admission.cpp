#include "masticproxy/src/Admission/admission.h"

#include "masticproxy/src/Query/profile.h"

#include <algorithm>

using namespace masticproxy;

namespace {

/// The number of all slots divided by the number of those that are reserved for
/// profiles: half of them are.
constexpr std::size_t ReservedDivisor = 2;

} // namespace

void admission::setProfiles(std::span<const std::string> Names) {
  for (const std::string &Name : Names)
    Profiles.try_emplace(Name);
  std::erase_if(Profiles, [&](const auto &Entry) {
    bool Listed =
        std::find(Names.begin(), Names.end(), Entry.first) != Names.end();
    return !Listed && Entry.second.running() == 0;
  });
}

std::optional<admission_refusal> admission::admit(const profile &Profile) {
  if (!hasFreeSlot(Profile.Name))
    return admission_refusal::NoFreeSlot;
  profile_load &Load = Profiles[Profile.Name];
  if (!Load.isBelowLimit())
    return admission_refusal::Overload;
  Load.onRequestStarted();
  ++Running;
  return std::nullopt;
}

void admission::onRequestFinished(const profile &Profile, time_point Start,
                                  bool Answered, time_point Now) {
  profile_load &Load = Profiles[Profile.Name];
  Load.onRequestFinished(Now - Start, Profile.Wait, Answered, Now);
  if (Running > 0)
    --Running;
}

std::size_t admission::reservedPerProfile() const {
  return Slots / ReservedDivisor / std::max<std::size_t>(1, Profiles.size());
}

bool admission::hasFreeSlot(std::string_view Name) const {
  std::size_t ReservedForOthers = 0;
  for (const auto &[Other, Load] : Profiles)
    if (Other != Name)
      ReservedForOthers +=
          reservedPerProfile() - std::min(reservedPerProfile(), Load.running());
  return Running + ReservedForOthers < Slots;
}
