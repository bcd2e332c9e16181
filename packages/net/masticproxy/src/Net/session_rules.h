#ifndef MASTICPROXY_NET_SESSION_RULES_H
#define MASTICPROXY_NET_SESSION_RULES_H

#include "masticproxy/src/Net/byte_budget.h"
#include "masticproxy/src/Net/http_server.h"

#include <cstdint>
#include <functional>

namespace masticproxy::internal {

/// \brief What all connections of one http_server share.
struct session_rules {
  explicit session_rules(http_server_limits NewLimits)
      : Limits(NewLimits), Bodies(NewLimits.HeldBodyBytes) {}

  /// Brings the limits up to date.
  void renewLimits() {
    if (Renew)
      Renew(Limits);
  }

  http_server_limits Limits;
  std::function<void(http_server_limits &)> Renew;
  /// What the long bodies of requests take together.
  byte_budget Bodies;
  http_server::handler Handler;
  /// Called with the serial number of a request whose caller has left.
  std::function<void(std::uint64_t)> CallerGone;
  std::uint64_t LastSerial = 0;
};

} // namespace masticproxy::internal

#endif
