#ifndef MASTICPROXY_DAEMON_NODE_STATUS_H
#define MASTICPROXY_DAEMON_NODE_STATUS_H

#include "masticproxy/src/Cluster/member_info.h"

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
  /// Whether the last call to the platform was answered.
  bool PlatformReachable = false;
  std::vector<object_in_force> Objects;
};

/// \returns \p Status as one JSON object.
std::string toJson(const node_status &Status);

} // namespace masticproxy

#endif
