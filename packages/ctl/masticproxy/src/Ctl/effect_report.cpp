#include "masticproxy/src/Ctl/effect_report.h"

#include "masticproxy/src/Ctl/ctl_error.h"

#include <map>

using namespace masticproxy;

namespace {

void mergeVersion(std::span<const vm_effect> Vms, std::uint64_t Version,
                  version_summary &Into) {
  for (const vm_effect &Vm : Vms)
    if (const profile_version *Found = Vm.find(Version))
      Into.merge(Found->Summary);
}

} // namespace

const profile_version *vm_effect::find(std::uint64_t Version) const {
  for (const profile_version &Kept : Versions)
    if (Kept.Version == Version)
      return &Kept;
  return nullptr;
}

std::vector<profile_version>
masticproxy::versionsOf(std::span<const vm_effect> Vms) {
  std::map<std::uint64_t, profile_version> ByVersion;
  for (const vm_effect &Vm : Vms)
    for (const profile_version &Version : Vm.Versions)
      ByVersion.emplace(Version.Version, Version);
  std::vector<profile_version> Versions;
  Versions.reserve(ByVersion.size());
  for (auto &[Number, Version] : ByVersion)
    Versions.push_back(std::move(Version));
  return Versions;
}

std::optional<profile_effect>
masticproxy::effectOf(std::span<const vm_effect> Vms) {
  std::vector<profile_version> Versions = versionsOf(Vms);
  if (Versions.empty())
    return std::nullopt;
  profile_effect Effect;
  Effect.AfterVersion = Versions.back().Version;
  mergeVersion(Vms, Effect.AfterVersion, Effect.After);
  if (Versions.size() == 1)
    return Effect;
  Effect.BeforeVersion = Versions[Versions.size() - 2].Version;
  mergeVersion(Vms, Effect.BeforeVersion, Effect.Before);
  return Effect;
}

void masticproxy::throwIfUnreached(std::span<const vm_effect> Vms) {
  std::string Unreached;
  for (const vm_effect &Vm : Vms)
    if (!Vm.Unreachable.empty())
      Unreached += " " + Vm.Vm;
  if (!Unreached.empty())
    throw ctl_error(ctl_exit::Unreachable, "nothing known from:" + Unreached);
}
