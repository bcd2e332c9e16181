#ifndef MASTICPROXY_WIRE_FRAME_CHANNEL_H
#define MASTICPROXY_WIRE_FRAME_CHANNEL_H

#include <cstdint>

namespace masticproxy {

/// \brief What a connection between VMs carries; stands in each frame.
enum class frame_channel : std::uint16_t {
  /// Members and configuration.
  Control = 0,
  /// Attempts for VMs of other data centres.
  Relay = 1,
};

} // namespace masticproxy

#endif
