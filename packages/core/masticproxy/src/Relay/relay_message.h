#ifndef MASTICPROXY_RELAY_RELAY_MESSAGE_H
#define MASTICPROXY_RELAY_RELAY_MESSAGE_H

#include "masticproxy/src/Relay/relay_cancel.h"
#include "masticproxy/src/Relay/relay_ping.h"
#include "masticproxy/src/Relay/relay_refusal.h"
#include "masticproxy/src/Relay/relay_request.h"
#include "masticproxy/src/Relay/relay_result.h"
#include "masticproxy/src/Relay/relay_unknown.h"

#include <variant>

namespace masticproxy {

/// \brief All that two VMs say to each other over a relay connection.
using relay_message = std::variant<relay_request, relay_cancel, relay_result,
                                   relay_refusal, relay_unknown, relay_ping>;

} // namespace masticproxy

#endif
