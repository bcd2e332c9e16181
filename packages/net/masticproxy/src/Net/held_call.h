#ifndef MASTICPROXY_NET_HELD_CALL_H
#define MASTICPROXY_NET_HELD_CALL_H

#include "masticproxy/src/Net/call_check.h"
#include "masticproxy/src/Net/call_probe.h"
#include "masticproxy/src/Net/http_connection.h"

#include <chrono>
#include <stop_token>
#include <string_view>

namespace masticproxy {

/// Sends \p Request, whose answer the other end may hold back, and waits up to
/// \p Timeout, on the calling thread; a request to \p Stop ends the wait. So
/// does a \p Check without an answer, or where there are no checks a \p Probe:
/// it shows that the other end is silent. An answer to a \p Check that brings
/// news is returned in place of the one that is held back. \returns the
/// response, or why there is none.
exchange_result heldCall(std::string_view Address, http_request Request,
                         std::chrono::milliseconds Timeout, call_probe Probe,
                         const call_check &Check = {},
                         const std::stop_token &Stop = {});

} // namespace masticproxy

#endif
