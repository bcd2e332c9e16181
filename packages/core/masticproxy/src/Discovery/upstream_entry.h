#ifndef MASTICPROXY_DISCOVERY_UPSTREAM_ENTRY_H
#define MASTICPROXY_DISCOVERY_UPSTREAM_ENTRY_H

#include <chrono>
#include <cstdint>
#include <string>

namespace masticproxy {

/// \brief What an upstream has registered of itself at the platform.
struct upstream_entry {
  /// Identity of one start of the upstream.
  std::string Instance;
  /// Shard whose data it serves.
  std::string Shard;
  /// IP number and port.
  std::string Address;
  std::string DataCentre;
  /// Requests it runs at a time.
  unsigned Slots = 1;
  /// It is leaving and must get no new work.
  bool Draining = false;
  /// Its registration is gone, but it may register again.
  bool Lapsed = false;
  /// How much longer it is slow after its start, as of the registration.
  std::chrono::milliseconds ColdLeft{0};
  /// Wall time of its start; tells two starts under one identity apart.
  std::chrono::milliseconds Started{0};

  bool operator==(const upstream_entry &) const = default;
};

} // namespace masticproxy

#endif
