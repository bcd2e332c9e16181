#ifndef MASTICPROXY_WIRE_PEER_FRAME_H
#define MASTICPROXY_WIRE_PEER_FRAME_H

#include "masticproxy/src/Base/hybrid_time.h"
#include "masticproxy/src/Cluster/peer_message.h"

namespace masticproxy {

/// \brief One message of a control connection with the sender's time.
struct peer_frame {
  hybrid_time Stamp;
  peer_message Message;
};

} // namespace masticproxy

#endif
