#ifndef MASTICPROXY_QUERY_INDEX_MAP_H
#define MASTICPROXY_QUERY_INDEX_MAP_H

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace masticproxy {

/// \brief One upstream that serves a shard.
struct replica {
  /// IP number and port.
  std::string Address;
  /// Data centre of the upstream.
  std::string DataCentre;
  /// Maximum number of requests that the upstream runs at a time.
  unsigned Slots = 1;
  /// Maximum number of connections that the upstream accepts from all VMs
  /// together.
  unsigned Connections = 1;
  /// Identity of the upstream's current process lifetime, which the upstream
  /// checks; empty if it has none.
  std::string Instance = {};
  /// Names one start of the upstream's process, also where the identity stays;
  /// empty if it is not known.
  std::string Process = {};
  /// Whether that name tells this start from each other one.
  bool StartKnown = false;

  /// \returns the name of the process: its address if no other is known.
  std::string_view process() const {
    return Process.empty() ? Address : Process;
  }
};

/// \brief One shard of a snapshot with its replicas.
struct shard {
  std::string Id;
  /// Unused if the catalogue lists the replicas of its shards.
  std::vector<replica> Replicas;
};

/// \brief One version of an index: all of its shards.
struct index_snapshot {
  std::string Id;
  std::vector<shard> Shards;
};

/// \brief An index and its current snapshot, which new queries pin.
struct index_map {
  std::string Name;
  std::shared_ptr<const index_snapshot> Current;
};

} // namespace masticproxy

#endif
