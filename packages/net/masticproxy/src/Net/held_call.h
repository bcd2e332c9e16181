#ifndef MASTICPROXY_NET_HELD_CALL_H
#define MASTICPROXY_NET_HELD_CALL_H

#include "masticproxy/src/Net/http_connection.h"

#include <chrono>
#include <stop_token>
#include <string_view>

namespace masticproxy {

/// \brief A cheap request that shows whether the other end of a held call
/// answers at all.
struct call_probe {
  http_request Request;
  /// Time without an answer to the held call after which it is sent.
  std::chrono::milliseconds After{0};
  /// Time for any answer to it.
  std::chrono::milliseconds Timeout{0};
};

/// Sends \p Request, whose answer the other end may hold back, and waits up to
/// \p Timeout, on the calling thread; a request to \p Stop ends the wait. So
/// does a \p Probe without an answer: it shows that the other end was silent
/// when it got the request. \returns the response, or why there is none.
exchange_result heldCall(std::string_view Address, http_request Request,
                         std::chrono::milliseconds Timeout, call_probe Probe,
                         const std::stop_token &Stop = {});

} // namespace masticproxy

#endif
