#ifndef MASTICPROXY_WIRE_FRAME_ERROR_H
#define MASTICPROXY_WIRE_FRAME_ERROR_H

#include <string_view>

namespace masticproxy {

/// \brief Why bytes from a peer are no valid frame.
enum class frame_error {
  /// The frame is longer than MaxFrameBytes.
  TooLong,
  /// The sender speaks another version of the protocol.
  WrongVersion,
  /// The payload does not match its checksum.
  WrongChecksum,
  /// The payload is no well-formed message.
  Malformed,
  /// The connection ended within a frame.
  CutShort,
};

/// \returns a short text for logs and counters.
std::string_view toString(frame_error Error);

} // namespace masticproxy

#endif
