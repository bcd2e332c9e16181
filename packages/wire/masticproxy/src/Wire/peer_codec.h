#ifndef MASTICPROXY_WIRE_PEER_CODEC_H
#define MASTICPROXY_WIRE_PEER_CODEC_H

#include "masticproxy/src/Wire/frame_error.h"
#include "masticproxy/src/Wire/peer_frame.h"

#include <string>
#include <string_view>
#include <variant>

namespace masticproxy {

/// \returns \p Message, stamped with \p Stamp, as the payload of a frame.
/// \sa makeFrame
std::string encodePeerMessage(const peer_message &Message,
                              const hybrid_time &Stamp);

/// \returns the frame in \p Payload, or frame_error::Malformed.
std::variant<peer_frame, frame_error> decodePeerFrame(std::string_view Payload);

} // namespace masticproxy

#endif
