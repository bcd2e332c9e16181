#ifndef MASTICPROXY_QUERY_PROFILE_H
#define MASTICPROXY_QUERY_PROFILE_H

#include <chrono>
#include <cstdint>
#include <string>

namespace masticproxy {

/// \brief The rules for the requests of one kind of caller; edited by
/// operators.
struct profile {
  /// Name by which services select the profile.
  std::string Name;
  /// Maximum time that a caller waits for an answer.
  std::chrono::milliseconds Wait{0};
  /// Minimum share of the shards that an answer must cover, in (0, 1].
  double Coverage = 1.0;
  /// Whether requests are idempotent, so that each may run more than once.
  bool MayRepeat = false;
  /// The platform's version of the profile; 0 if it isn't from a platform.
  std::uint64_t Version = 0;
  /// Time after which a request is answered as soon as its results reach the
  /// minimum coverage, without waiting for more; 0 if only Wait applies.
  std::chrono::milliseconds TargetLatency{0};
  /// Maximum number of attempts for each shard that may run the request; 0
  /// means no limit.
  unsigned Attempts = 0;
  /// Priority among the profiles; 0 is the most urgent.
  unsigned Priority = 0;
};

} // namespace masticproxy

#endif
