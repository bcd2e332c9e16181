#ifndef MASTICPROXY_DISCOVERY_CALLER_LIMITS_H
#define MASTICPROXY_DISCOVERY_CALLER_LIMITS_H

#include <chrono>
#include <cstddef>

namespace masticproxy {

/// \brief What callers may send, and how long they may take.
struct caller_limits {
  std::size_t HeaderBytes = 16384;
  std::size_t BodyBytes = 65536;
  /// Longest time for a request's header.
  std::chrono::milliseconds HeaderTimeout{10000};
  /// Silence after which a kept connection is closed.
  std::chrono::milliseconds IdleTimeout{60000};

  bool operator==(const caller_limits &) const = default;
};

} // namespace masticproxy

#endif
