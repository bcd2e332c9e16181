#ifndef MASTICPROXY_NET_HTTP_CALL_H
#define MASTICPROXY_NET_HTTP_CALL_H

#include "masticproxy/src/Net/http_connection.h"

#include <chrono>
#include <stop_token>
#include <string_view>

namespace masticproxy {

/// Sends \p Request to \p Address and waits up to \p Timeout, on the calling
/// thread; a request to \p Stop ends the wait. \returns the response, or why
/// there is none.
exchange_result httpCall(std::string_view Address, http_request Request,
                         std::chrono::milliseconds Timeout,
                         const std::stop_token &Stop = {});

} // namespace masticproxy

#endif
