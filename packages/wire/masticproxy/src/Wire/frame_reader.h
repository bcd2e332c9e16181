#ifndef MASTICPROXY_WIRE_FRAME_READER_H
#define MASTICPROXY_WIRE_FRAME_READER_H

#include "masticproxy/src/Wire/frame_channel.h"
#include "masticproxy/src/Wire/frame_error.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace masticproxy {

/// Longest payload of a frame, in bytes.
inline constexpr std::size_t MaxFrameBytes = 4U << 20U;

/// Version of the protocol between the system's processes.
inline constexpr std::uint16_t ProtocolVersion = 1;

/// Bytes before the payload: length (4), version (2), channel (2), checksum
/// (4), all little endian.
inline constexpr std::size_t FrameHeaderBytes = 12;

/// \returns \p Payload as one frame.
std::string makeFrame(std::string_view Payload,
                      frame_channel Channel = frame_channel::Control);

/// \brief Cuts a stream of bytes into frames.
class frame_reader {
public:
  /// Adds bytes as they came in.
  void append(std::string_view Bytes) { Buffer.append(Bytes); }

  /// \returns the next payload; nothing while a frame is incomplete; an error
  /// after which the stream can't be read on.
  std::optional<std::variant<std::string, frame_error>> next();

  /// \returns what the connection carries, as the next frame's header says;
  /// nothing before the header is there.
  std::optional<frame_channel> channel() const;

  /// Moves out the bytes that are not read yet.
  std::string takeBytes() { return std::exchange(Buffer, {}); }

  /// \returns whether bytes of an unfinished frame are held.
  bool partial() const { return !Buffer.empty(); }

private:
  std::string Buffer;
};

} // namespace masticproxy

#endif
