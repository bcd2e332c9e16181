#ifndef MASTICPROXY_RELAY_RELAY_REQUEST_H
#define MASTICPROXY_RELAY_RELAY_REQUEST_H

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace masticproxy {

/// \brief Asks a VM of another data centre to run one attempt at a shard.
struct relay_request {
  /// Name of the VM that asks.
  std::string Origin;
  /// Start of that VM's process; attempts are numbered from it.
  std::uint64_t Incarnation = 0;
  /// Attempt within the origin's process; grows.
  std::uint64_t Attempt = 0;
  std::string RequestId;
  std::string Index;
  std::string Snapshot;
  std::string Shard;
  std::shared_ptr<const std::string> Body;
  /// Time left when the request was written.
  std::chrono::microseconds Remaining{0};
  /// Whether the attempt may run more than once.
  bool Idempotent = false;
};

} // namespace masticproxy

#endif
