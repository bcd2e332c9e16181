#ifndef MASTICPROXY_QUERY_PROFILE_H
#define MASTICPROXY_QUERY_PROFILE_H

#include <chrono>
#include <cstdint>
#include <string>

namespace masticproxy {

/// \brief What a kind of caller may expect; edited by operators.
struct profile {
  /// Name by which services pick the profile.
  std::string Name;
  /// Longest time a caller waits for an answer.
  std::chrono::milliseconds Wait{0};
  /// Least share of shards an answer must cover, in (0, 1].
  double Coverage = 1.0;
  /// Whether a request is idempotent, so that it may run more than once.
  bool MayRepeat = false;
  /// The platform's version of it; 0 where it came from no platform.
  std::uint64_t Version = 0;
  /// Time after which an answer of the least coverage is given instead of
  /// waiting for more; 0: only Wait counts.
  std::chrono::milliseconds TargetLatency{0};
  /// Upstreams that may run the request for each shard; 0: no bound.
  unsigned Attempts = 0;
  /// Rank among the profiles; 0 is the most urgent.
  unsigned Priority = 0;
};

} // namespace masticproxy

#endif
