#ifndef MASTICPROXY_DAEMON_UPSTREAM_STATUS_READING_H
#define MASTICPROXY_DAEMON_UPSTREAM_STATUS_READING_H

#include "masticproxy/src/Net/forwarding_names.h"
#include "masticproxy/src/Net/http_message.h"
#include "masticproxy/src/Query/engine_command.h"
#include "masticproxy/src/Query/upstream_status.h"

#include <chrono>
#include <optional>
#include <string_view>

namespace masticproxy {

/// \returns the span that a `Retry-After` field of seconds, with fractions or
/// without, states; empty where \p Text states none.
std::optional<std::chrono::milliseconds> readRetryAfter(std::string_view Text);

/// \returns what \p Response to \p Attempt says of the upstream itself.
upstream_status readUpstreamStatus(const send_attempt &Attempt,
                                   const http_response &Response,
                                   const forwarding_names &Names);

} // namespace masticproxy

#endif
