#ifndef MASTICPROXY_NET_CALL_CHECK_H
#define MASTICPROXY_NET_CALL_CHECK_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Net/http_message.h"

#include <functional>

namespace masticproxy {

/// \brief Requests that find out, while a call is held back, whether its answer
/// should have come. All three functions are set, or none: then there are no
/// checks.
struct call_check {
  /// \returns when the next check is due.
  std::function<time_point()> Due;
  /// \returns the request of a check.
  std::function<http_request()> Request;
  /// Reads the answer to a check that was sent at a time. \returns whether it
  /// has what the held call waits for.
  std::function<bool(const http_response &, time_point)> HasNews;
};

} // namespace masticproxy

#endif
