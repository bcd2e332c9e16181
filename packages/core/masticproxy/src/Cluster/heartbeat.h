#ifndef MASTICPROXY_CLUSTER_HEARTBEAT_H
#define MASTICPROXY_CLUSTER_HEARTBEAT_H

#include "masticproxy/src/Cluster/member_info.h"
#include "masticproxy/src/Cluster/platform_contact.h"

#include <cstdint>
#include <vector>

namespace masticproxy {

/// \brief Sent to each peer of the data centre at a fixed interval.
struct heartbeat {
  member_info Sender;
  std::uint64_t Sequence = 0;
  /// What the sender sees of its peers; Alive and Leaving only where it hears
  /// them itself.
  std::vector<member_info> Members;
  /// Highest platform revision whose configuration the sender holds.
  std::uint64_t ConfigurationRevision = 0;
  /// \sa configuration_table::digest
  std::uint64_t ConfigurationDigest = 0;
  platform_contact Platform = platform_contact::NotWatching;

  bool operator==(const heartbeat &) const = default;
};

} // namespace masticproxy

#endif
