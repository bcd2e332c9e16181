#ifndef MASTICPROXY_QUERY_SHARD_GAP_H
#define MASTICPROXY_QUERY_SHARD_GAP_H

#include <string>
#include <string_view>

namespace masticproxy {

/// \brief Why a shard of a request has no result.
enum class gap_cause {
  /// None came in time.
  Late,
  /// No upstream within reach serves it.
  OutOfReach,
  /// None of its upstreams could be connected to.
  NotConnected,
  /// The budget for extra load allowed no further attempt.
  NoBudget,
};

/// \returns the name of \p Cause, as logs give it.
std::string_view toString(gap_cause Cause);

/// \brief A shard without a result.
struct shard_gap {
  std::string Shard;
  gap_cause Cause = gap_cause::Late;
};

} // namespace masticproxy

#endif
