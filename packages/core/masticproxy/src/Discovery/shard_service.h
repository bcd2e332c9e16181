#ifndef MASTICPROXY_DISCOVERY_SHARD_SERVICE_H
#define MASTICPROXY_DISCOVERY_SHARD_SERVICE_H

#include <string>

namespace masticproxy {

/// \brief What the operator says of the upstreams of one shard.
struct shard_service {
  std::string Shard;
  /// Path of the upstreams' health check.
  std::string HealthPath;
  /// Connections that each upstream accepts, over all VMs.
  unsigned Connections = 1;
};

} // namespace masticproxy

#endif
