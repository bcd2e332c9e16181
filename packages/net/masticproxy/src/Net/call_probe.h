#ifndef MASTICPROXY_NET_CALL_PROBE_H
#define MASTICPROXY_NET_CALL_PROBE_H

#include "masticproxy/src/Net/http_message.h"

#include <chrono>

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

} // namespace masticproxy

#endif
