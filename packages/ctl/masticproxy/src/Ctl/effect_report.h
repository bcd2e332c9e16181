#ifndef MASTICPROXY_CTL_EFFECT_REPORT_H
#define MASTICPROXY_CTL_EFFECT_REPORT_H

#include "masticproxy/src/Report/profile_summaries.h"

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace masticproxy {

struct vm_report;

/// \brief What one VM remembers of one profile.
struct vm_effect {
  std::string Vm;
  /// Why it told nothing; empty where it did.
  std::string Unreachable;
  /// Oldest first; none where the profile was never in force there.
  std::vector<profile_version> Versions;

  /// \returns the entry of \p Version, or null.
  const profile_version *find(std::uint64_t Version) const;
};

/// \brief The requests of one profile before and after its newest edit, summed
/// over VMs.
struct profile_effect {
  /// 0 where no VM remembers an earlier version.
  std::uint64_t BeforeVersion = 0;
  std::uint64_t AfterVersion = 0;
  version_summary Before;
  version_summary After;
};

/// \returns what \p Report, an answer to `/v1/effects`, says of the profile
/// called \p Name.
vm_effect readEffect(const vm_report &Report, std::string_view Name);

/// \returns the versions that any VM remembers, oldest first, each as the
/// first VM that remembers it has it.
std::vector<profile_version> versionsOf(std::span<const vm_effect> Vms);

/// \returns the effect of the newest version that any VM has in force, or
/// nothing where none has one.
std::optional<profile_effect> effectOf(std::span<const vm_effect> Vms);

/// \returns the names of the profiles in answers to `/v1/effects`.
std::set<std::string> profilesIn(std::span<const vm_report> Reports);

/// \throws ctl_error that names each VM that told nothing.
void throwIfUnreached(std::span<const vm_effect> Vms);

} // namespace masticproxy

#endif
