#ifndef MASTICPROXY_WIRE_RELAY_FRAME_H
#define MASTICPROXY_WIRE_RELAY_FRAME_H

#include "masticproxy/src/Relay/relay_message.h"
#include "masticproxy/src/Wire/frame_stamp.h"

namespace masticproxy {

/// \brief One message of a relay connection with its time stamp.
struct relay_frame {
  frame_stamp Stamp;
  relay_message Message;
};

} // namespace masticproxy

#endif
