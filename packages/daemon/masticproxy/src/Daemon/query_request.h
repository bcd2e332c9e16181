#ifndef MASTICPROXY_DAEMON_QUERY_REQUEST_H
#define MASTICPROXY_DAEMON_QUERY_REQUEST_H

#include "masticproxy/src/Net/http_message.h"
#include "masticproxy/src/Query/engine_event.h"

#include <string>
#include <string_view>
#include <variant>

namespace masticproxy {

/// \returns whether \p Target is `/v1/indexes/NAME/query`, for some NAME.
bool isQueryTarget(std::string_view Target);

/// \returns the query that \p Request asks for, without a ticket, or the
/// response that says why it asks for none.
std::variant<query_arrived, http_response>
readQueryRequest(http_request Request, std::string RequestId);

} // namespace masticproxy

#endif
