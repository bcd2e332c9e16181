#ifndef MASTICPROXY_WIRE_RELAY_CODEC_H
#define MASTICPROXY_WIRE_RELAY_CODEC_H

#include "masticproxy/src/Relay/relay_message.h"
#include "masticproxy/src/Wire/frame_error.h"
#include "masticproxy/src/Wire/relay_frame.h"

#include <string>
#include <string_view>
#include <variant>

namespace masticproxy {

/// \returns \p Frame as the payload of a frame.
/// \sa makeFrame
std::string encodeRelayFrame(const relay_frame &Frame);

/// \returns the frame in \p Payload, or frame_error::Malformed.
std::variant<relay_frame, frame_error>
decodeRelayFrame(std::string_view Payload);

} // namespace masticproxy

#endif
