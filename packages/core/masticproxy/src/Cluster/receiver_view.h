#ifndef MASTICPROXY_CLUSTER_RECEIVER_VIEW_H
#define MASTICPROXY_CLUSTER_RECEIVER_VIEW_H

#include "masticproxy/src/Cluster/member_info.h"

#include <cstdint>

namespace masticproxy {

/// \brief What the sender of a heartbeat knows of its receiver.
struct receiver_view {
  /// 0 where the receiver was never heard.
  std::uint64_t Incarnation = 0;
  member_state State = member_state::Alive;
  /// Whether the sender shares the upstreams' connections with the receiver
  /// and is within its own share.
  bool Counted = false;

  bool operator==(const receiver_view &) const = default;
};

} // namespace masticproxy

#endif
