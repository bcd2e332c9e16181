#ifndef MASTICPROXY_WIRE_PEER_FRAME_H
#define MASTICPROXY_WIRE_PEER_FRAME_H

#include "masticproxy/src/Cluster/peer_message.h"
#include "masticproxy/src/Wire/frame_stamp.h"

namespace masticproxy {

/// \brief One message of a control connection with its time stamp.
struct peer_frame {
  frame_stamp Stamp;
  peer_message Message;
};

} // namespace masticproxy

#endif
