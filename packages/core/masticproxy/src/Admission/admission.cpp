#include "masticproxy/src/Admission/admission.h"

#include "masticproxy/src/Query/profile.h"

#include <algorithm>

using namespace masticproxy;

namespace {

/// Places are divided by this to get those that are reserved for profiles.
constexpr std::size_t ReservedDivisor = 2;

} // namespace

void admission::setProfiles(std::span<const std::string> Names) {
  for (const std::string &Name : Names)
    Profiles.try_emplace(Name);
  std::erase_if(Profiles, [&](const auto &Entry) {
    bool Named =
        std::find(Names.begin(), Names.end(), Entry.first) != Names.end();
    return !Named && Entry.second.running() == 0;
  });
}

std::optional<admission_refusal> admission::admit(const profile &Profile) {
  if (!hasPlace(Profile.Name))
    return admission_refusal::NoPlace;
  profile_load &Load = Profiles[Profile.Name];
  if (!Load.hasRoom())
    return admission_refusal::TooLate;
  Load.started();
  ++Running;
  return std::nullopt;
}

void admission::finished(const profile &Profile, time_point Start,
                         bool Answered, time_point Now) {
  profile_load &Load = Profiles[Profile.Name];
  Load.finished(Now - Start, Profile.Wait, Answered, Now);
  if (Running > 0)
    --Running;
}

std::size_t admission::reserve() const {
  return Places / ReservedDivisor / std::max<std::size_t>(1, Profiles.size());
}

bool admission::hasPlace(std::string_view Name) const {
  std::size_t HeldBack = 0;
  for (const auto &[Other, Load] : Profiles)
    if (Other != Name)
      HeldBack += reserve() - std::min(reserve(), Load.running());
  return Running + HeldBack < Places;
}
