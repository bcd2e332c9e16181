#ifndef MASTICPROXY_NET_SESSION_RULES_H
#define MASTICPROXY_NET_SESSION_RULES_H

#include "masticproxy/src/Net/connection_memory.h"
#include "masticproxy/src/Net/http_server.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>

namespace masticproxy::internal {

/// \brief What all connections of one http_server share.
struct session_rules {
  explicit session_rules(const http_server_limits &NewLimits)
      : Limits(NewLimits), Memory(NewLimits.Memory) {
    if (!Memory)
      Memory = std::make_shared<connection_memory>(Limits.HeldBytes);
  }

  /// Brings the limits up to date.
  void renewLimits() {
    if (Renew)
      Renew(Limits);
  }

  http_server_limits Limits;
  std::function<void(http_server_limits &)> Renew;
  std::shared_ptr<connection_memory> Memory;
  /// Takes what is read of rejected requests, and is never looked at.
  std::array<char, 65536> Discarded{};
  http_server::handler Handler;
  /// Called with the serial number of a request whose caller has left.
  std::function<void(std::uint64_t)> CallerGone;
  std::uint64_t LastSerial = 0;
};

} // namespace masticproxy::internal

#endif
