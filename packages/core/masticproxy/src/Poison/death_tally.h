#ifndef MASTICPROXY_POISON_DEATH_TALLY_H
#define MASTICPROXY_POISON_DEATH_TALLY_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Poison/poison_notice.h"
#include "masticproxy/src/Poison/upstream_attempt.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace masticproxy {

/// \brief The deaths of upstreams while they ran one query, as seen by one VM
/// or by several.
struct death_tally {
  /// Half rounds of a death, and of one that may have another cause.
  static constexpr std::uint64_t WholeRound = 2;
  static constexpr std::uint64_t HalfRound = 1;

  std::uint64_t HalfRounds = 0;
  /// Start of the earliest attempt that ended in one of the deaths.
  time_point FirstStarted{};
  time_point LastDeath{};
  /// Processes that died, the newest few, the last one at the end.
  std::vector<std::string> Processes;

  /// \returns the tally in \p Notice, which arrived at \p Now.
  static death_tally of(const poison_notice &Notice, time_point Now);

  /// \returns the tally as a notice that is sent at \p Now.
  poison_notice toNotice(query_fingerprint Fingerprint, std::string Shard,
                         time_point Now) const;

  unsigned rounds() const {
    return static_cast<unsigned>(HalfRounds / WholeRound);
  }

  /// \returns whether the process of \p Attempt is known to have died before,
  /// if its identity tells one start from another.
  bool hasSeen(const upstream_attempt &Attempt) const;

  /// Records that \p Process died.
  void addProcess(std::string_view Process);

  /// Takes in the tally of another VM. Deaths add up if they can't be the same
  /// ones: other processes died, and before or after the deaths of this tally.
  void merge(const death_tally &Other);
};

} // namespace masticproxy

#endif
