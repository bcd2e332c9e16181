#ifndef MASTICPROXY_DAEMON_NODE_STATUS_H
#define MASTICPROXY_DAEMON_NODE_STATUS_H

#include "masticproxy/src/Cluster/member_info.h"
#include "masticproxy/src/Discovery/caller_limits.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace masticproxy {

/// \brief One configuration object as a VM applies it.
struct object_in_force {
  std::string Kind;
  std::string Name;
  std::uint64_t Version = 0;
  /// Wall time at which it came into force on this VM, since 1970.
  std::chrono::microseconds Since{0};
  /// Why a newer text is not in force; empty where there is none.
  std::string Rejected;
};

/// \brief What a VM reports of itself; made by the control duty.
struct node_status {
  member_info Self;
  std::vector<member_info> Peers;
  std::uint64_t ConfigurationRevision = 0;
  /// Whether this VM or, as far as it is heard, a VM that watches for it
  /// reaches the platform.
  bool PlatformReachable = false;
  /// Whether this VM watches the platform for the others.
  bool Watching = false;
  /// Whether the platform is behind what was accepted before.
  bool PlatformBehind = false;
  /// Whether this VM may hold connections to upstreams.
  bool SharesSettled = false;
  /// VMs that each upstream's connections are divided by.
  std::size_t Sharers = 1;
  std::vector<object_in_force> Objects;
  /// What the configuration in force lets callers send.
  caller_limits CallerLimits = {};
};

/// \returns \p Status as one JSON object.
std::string toJson(const node_status &Status);

} // namespace masticproxy

#endif
