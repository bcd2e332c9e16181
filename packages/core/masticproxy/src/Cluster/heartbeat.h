#ifndef MASTICPROXY_CLUSTER_HEARTBEAT_H
#define MASTICPROXY_CLUSTER_HEARTBEAT_H

#include "masticproxy/src/Cluster/member_info.h"

#include <cstdint>
#include <vector>

namespace masticproxy {

/// \brief Sent to each peer of the data centre at a fixed interval.
struct heartbeat {
  member_info Sender;
  std::uint64_t Sequence = 0;
  std::vector<member_info> Members;
  /// Highest platform revision whose configuration the sender holds.
  std::uint64_t ConfigurationRevision = 0;

  bool operator==(const heartbeat &) const = default;
};

} // namespace masticproxy

#endif
