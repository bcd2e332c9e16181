#ifndef MASTICPROXY_QUERY_QUERY_ACCOUNT_H
#define MASTICPROXY_QUERY_QUERY_ACCOUNT_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Query/shard_gap.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace masticproxy {

/// \brief The cost and the gaps of one request, for the reports on its profile.
struct query_account {
  /// Name of the profile; empty if the request named none that is in force.
  std::string Profile;
  /// Version of the profile that applied to the request.
  std::uint64_t Version = 0;
  /// Team of the caller; empty if keys are not used or its key is unknown.
  std::string Team = {};
  /// Whether the request was admitted; otherwise it was refused on arrival.
  bool Admitted = false;
  /// Time from the request's arrival to its outcome.
  duration Took{0};
  /// Number of shards of the snapshot that was pinned last.
  std::size_t Shards = 0;
  /// Number of attempts sent: first ones, retries and hedges.
  std::size_t Attempts = 0;
  /// Shards without a result.
  std::vector<shard_gap> Missing = {};
};

} // namespace masticproxy

#endif
