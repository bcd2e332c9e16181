#ifndef MASTICPROXY_CLUSTER_CONFIGURATION_PULL_H
#define MASTICPROXY_CLUSTER_CONFIGURATION_PULL_H

#include <cstdint>
#include <string>

namespace masticproxy {

/// \brief Asks a peer for the configuration after a revision.
struct configuration_pull {
  std::uint64_t AfterRevision = 0;
  /// Peer address of the VM that asks.
  std::string ReplyTo;

  bool operator==(const configuration_pull &) const = default;
};

} // namespace masticproxy

#endif
