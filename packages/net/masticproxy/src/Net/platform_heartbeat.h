#ifndef MASTICPROXY_NET_PLATFORM_HEARTBEAT_H
#define MASTICPROXY_NET_PLATFORM_HEARTBEAT_H

#include "masticproxy/src/Discovery/read_freshness.h"
#include "masticproxy/src/Net/platform_position.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace masticproxy {

/// \brief An object in the platform that one VM replaces about once a second,
/// so that a copy of the platform shows how old it is.
struct platform_heartbeat {
  /// Counts time: between two heartbeats, at least the difference has passed,
  /// less LongestHeartbeatWrite.
  std::chrono::milliseconds Elapsed{0};
  /// Of the heartbeat that this one replaced; 0: there was none.
  std::uint64_t Previous = 0;
  /// From here up to Previous, nothing but the heartbeat changed.
  std::uint64_t QuietSince = 0;
  /// Of this heartbeat; 0 before it is written.
  std::uint64_t Revision = 0;

  /// \returns the revision from which up to this heartbeat nothing else
  /// changed.
  std::uint64_t quietSince() const {
    return Revision == Previous + 1 ? QuietSince : Revision - 1;
  }
};

/// Most that one heartbeat adds to Elapsed.
inline constexpr std::chrono::milliseconds LongestHeartbeatStep{1100};

/// Longest time that a write may take, for Elapsed to go on with the time of
/// its sending.
inline constexpr std::chrono::milliseconds LongestHeartbeatWrite{100};

/// \brief What a read of the heartbeat has found.
struct heartbeat_reading {
  /// Empty if there is none.
  std::optional<platform_heartbeat> Heartbeat;
  /// The platform's position that the answer shows.
  platform_position Shown;
  read_freshness Source = read_freshness::Newest;
  time_point SentAt{};

  /// \returns a position from which up to Shown nothing but the heartbeat
  /// changed.
  platform_position quietSince() const {
    bool Last = Heartbeat && Heartbeat->Revision == Shown.Revision;
    return {Last ? Heartbeat->quietSince() : Shown.Revision, Shown.Era};
  }
};

} // namespace masticproxy

#endif
