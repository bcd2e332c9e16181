#ifndef MASTICPROXY_WIRE_RELAY_FRAME_H
#define MASTICPROXY_WIRE_RELAY_FRAME_H

#include "masticproxy/src/Base/hybrid_time.h"
#include "masticproxy/src/Relay/relay_message.h"

namespace masticproxy {

/// \brief One message of a relay connection with the sender's time.
struct relay_frame {
  hybrid_time Stamp;
  relay_message Message;
};

} // namespace masticproxy

#endif
