#ifndef MASTICPROXY_QUERY_SHARD_GAP_H
#define MASTICPROXY_QUERY_SHARD_GAP_H

#include <string>
#include <string_view>

namespace masticproxy {

/// \brief Why a shard of a request has no result.
enum class gap_cause {
  /// No result arrived in time.
  Late,
  /// No upstream serves it in a data centre whose upstreams may be chosen.
  OutOfReach,
  /// No connection could be made to any of its upstreams.
  NotConnected,
  /// The load budget allowed no further attempt.
  NoBudget,
};

/// \returns the name of \p Cause as it appears in logs.
std::string_view toString(gap_cause Cause);

/// \brief A shard without a result, and the cause.
struct shard_gap {
  std::string Shard;
  gap_cause Cause = gap_cause::Late;
};

} // namespace masticproxy

#endif
