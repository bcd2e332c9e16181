#ifndef MASTICPROXY_DAEMON_FORWARDING_H
#define MASTICPROXY_DAEMON_FORWARDING_H

#include "masticproxy/src/Daemon/upstream_reading.h"
#include "masticproxy/src/Net/forwarding_names.h"
#include "masticproxy/src/Net/http_message.h"
#include "masticproxy/src/Query/engine_command.h"
#include "masticproxy/src/Query/engine_event.h"
#include "masticproxy/src/Query/query_outcome.h"

#include <chrono>
#include <string_view>

namespace masticproxy {

/// \returns the query for a request that is forwarded by host and path,
/// without a ticket. Its id is empty where the caller gives none.
query_arrived toForwardedQuery(http_request Request,
                               const forwarding_names &Names);

/// \returns the response that tells the caller of a forwarded request its
/// outcome.
http_response toForwardedResponse(std::string_view RequestId,
                                  query_outcome Outcome,
                                  const forwarding_names &Names);

/// \returns the request that an upstream gets for \p Attempt, which may take
/// \p Remaining.
http_request toForwardedAttempt(const send_attempt &Attempt,
                                std::chrono::milliseconds Remaining,
                                const forwarding_names &Names);

/// \returns what an upstream's response to \p Attempt means.
upstream_reading fromForwardedResponse(const send_attempt &Attempt,
                                       http_response Response,
                                       const forwarding_names &Names);

} // namespace masticproxy

#endif
