#ifndef MASTICPROXY_DAEMON_UPSTREAM_PROTOCOL_H
#define MASTICPROXY_DAEMON_UPSTREAM_PROTOCOL_H

#include "masticproxy/src/Daemon/upstream_reading.h"
#include "masticproxy/src/Net/http_message.h"
#include "masticproxy/src/Query/engine_command.h"

#include <chrono>

namespace masticproxy {

/// \returns the HTTP request for an attempt that may take \p Remaining.
/// \sa docs/PROTOCOLS.md
http_request toUpstreamRequest(const send_attempt &Attempt,
                               std::chrono::milliseconds Remaining);

/// \returns the HTTP request that cancels \p Attempt.
http_request toCancelRequest(attempt_id Attempt);

/// \returns what an upstream's response to \p Attempt means.
upstream_reading fromUpstreamResponse(const send_attempt &Attempt,
                                      http_response Response);

} // namespace masticproxy

#endif
