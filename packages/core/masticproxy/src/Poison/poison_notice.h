#ifndef MASTICPROXY_POISON_POISON_NOTICE_H
#define MASTICPROXY_POISON_POISON_NOTICE_H

#include "masticproxy/src/Poison/query_fingerprint.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace masticproxy {

/// \brief Sent by one VM to the others: a query was in flight when upstreams
/// died.
struct poison_notice {
  query_fingerprint Fingerprint = 0;
  /// Number of rounds of deaths. A new round begins with the death of an
  /// attempt that started after the deaths of the previous round.
  std::uint32_t Rounds = 0;
  /// Shard whose attempt was in flight at the last death.
  std::string Shard;
  /// Time since the last death.
  std::chrono::milliseconds Age{0};
  /// Whether one more death counted for half a round, as it may have another
  /// cause.
  bool HalfRound = false;
  /// Time from the start of the earliest attempt that ended in a death to the
  /// last death.
  std::chrono::milliseconds Span{0};
  /// The processes that died, the newest few; empty if they are not known.
  std::vector<std::string> Processes = {};

  /// \returns the number of half rounds, which orders the notices of a query.
  std::uint64_t halfRounds() const {
    return 2 * std::uint64_t{Rounds} + (HalfRound ? 1 : 0);
  }

  bool operator==(const poison_notice &) const = default;
};

} // namespace masticproxy

#endif
