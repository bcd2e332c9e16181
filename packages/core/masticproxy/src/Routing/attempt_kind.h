#ifndef MASTICPROXY_ROUTING_ATTEMPT_KIND_H
#define MASTICPROXY_ROUTING_ATTEMPT_KIND_H

#include <string_view>

namespace masticproxy {

/// \brief Why an attempt at a shard is made.
enum class attempt_kind {
  /// The shard was not attempted before.
  First,
  /// An earlier attempt ended without a result.
  Retry,
  /// An earlier attempt is late and stays open.
  Hedge,
};

/// \returns the kind's name in metrics and in the time line.
std::string_view toString(attempt_kind Kind);

} // namespace masticproxy

#endif
