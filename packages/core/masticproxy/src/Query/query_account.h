#ifndef MASTICPROXY_QUERY_QUERY_ACCOUNT_H
#define MASTICPROXY_QUERY_QUERY_ACCOUNT_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Query/shard_gap.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace masticproxy {

/// \brief What one request took, for the reports on its profile.
struct query_account {
  /// Empty where the request named no profile in force.
  std::string Profile;
  /// Version of the profile that the request was judged by.
  std::uint64_t Version = 0;
  /// Whether the request was taken on; otherwise it was refused at once.
  bool TakenOn = false;
  /// From its arrival to its outcome.
  duration Took{0};
  /// Shards of the snapshot it ended on.
  std::size_t Shards = 0;
  /// Attempts sent for them: first ones, retries and hedges.
  std::size_t Attempts = 0;
  /// Shards without a result.
  std::vector<shard_gap> Missing = {};
};

} // namespace masticproxy

#endif
