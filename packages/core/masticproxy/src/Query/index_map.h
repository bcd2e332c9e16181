#ifndef MASTICPROXY_QUERY_INDEX_MAP_H
#define MASTICPROXY_QUERY_INDEX_MAP_H

#include <memory>
#include <string>
#include <vector>

namespace masticproxy {

/// \brief One upstream that serves a shard.
struct replica {
  /// IP number and port.
  std::string Address;
  /// Data centre of the upstream.
  std::string DataCentre;
  /// Requests the upstream runs at a time.
  unsigned Slots = 1;
  /// Connections the upstream accepts, over all VMs.
  unsigned Connections = 1;
  /// Identity of the upstream's present start, which it checks; empty where
  /// it has none.
  std::string Instance = {};
};

/// \brief One shard of a snapshot with its replicas.
struct shard {
  std::string Id;
  /// Unused where the catalogue lists the replicas of its shards.
  std::vector<replica> Replicas;
};

/// \brief One version of an index: the shards that make it whole.
struct index_snapshot {
  std::string Id;
  std::vector<shard> Shards;
};

/// \brief The snapshot of an index that new queries pin.
struct index_map {
  std::string Name;
  std::shared_ptr<const index_snapshot> Current;
};

} // namespace masticproxy

#endif
