#ifndef MASTICPROXY_WIRE_PEER_CODEC_H
#define MASTICPROXY_WIRE_PEER_CODEC_H

#include "masticproxy/src/Cluster/peer_message.h"
#include "masticproxy/src/Wire/frame_error.h"

#include <string>
#include <string_view>
#include <variant>

namespace masticproxy {

/// \returns \p Message as the payload of a frame.
/// \sa makeFrame
std::string encodePeerMessage(const peer_message &Message);

/// \returns the message in \p Payload, or frame_error::Malformed.
std::variant<peer_message, frame_error>
decodePeerMessage(std::string_view Payload);

} // namespace masticproxy

#endif
