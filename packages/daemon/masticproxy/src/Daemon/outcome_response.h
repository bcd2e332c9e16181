#ifndef MASTICPROXY_DAEMON_OUTCOME_RESPONSE_H
#define MASTICPROXY_DAEMON_OUTCOME_RESPONSE_H

#include "masticproxy/src/Net/http_message.h"
#include "masticproxy/src/Query/query_outcome.h"

#include <string_view>

namespace masticproxy {

/// \returns the HTTP response that tells a caller the outcome of its request.
/// \sa docs/PROTOCOLS.md
http_response toCallerResponse(std::string_view RequestId,
                               query_outcome Outcome);

/// \returns an error response with a machine-readable code.
http_response errorResponse(unsigned Status, std::string_view Code,
                            std::string_view Message,
                            std::string_view RequestId);

} // namespace masticproxy

#endif
