#ifndef MASTICPROXY_CTL_EFFECT_REPORT_H
#define MASTICPROXY_CTL_EFFECT_REPORT_H

#include "masticproxy/src/Report/profile_summaries.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace masticproxy {

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

/// \returns the versions that any VM remembers, oldest first, each as the
/// first VM that remembers it has it.
std::vector<profile_version> versionsOf(std::span<const vm_effect> Vms);

/// \returns the effect of the newest version that any VM has in force, or
/// nothing where none has one.
std::optional<profile_effect> effectOf(std::span<const vm_effect> Vms);

/// \throws ctl_error that names each VM that told nothing.
void throwIfUnreached(std::span<const vm_effect> Vms);

} // namespace masticproxy

#endif
