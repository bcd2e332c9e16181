#ifndef MASTICPROXY_NET_PLATFORM_CALLER_H
#define MASTICPROXY_NET_PLATFORM_CALLER_H

#include "masticproxy/src/Net/call_check.h"
#include "masticproxy/src/Net/http_message.h"
#include "masticproxy/src/Net/platform_api.h"

#include <chrono>
#include <stop_token>
#include <string>
#include <variant>

namespace masticproxy {

/// \brief Makes calls to the platform, whatever it speaks; each waits for its
/// answer.
class platform_caller {
public:
  /// Talks to \p Address; each call ends after \p CallTimeout beyond what it
  /// asks the platform to wait, and all end when \p Stop is requested.
  platform_caller(std::string Address, std::chrono::milliseconds CallTimeout,
                  std::stop_token Stop = {})
      : Address(std::move(Address)), CallTimeout(CallTimeout),
        Stop(std::move(Stop)) {}

  /// \returns the platform's answer to \p Request, which it may hold back for
  /// \p Wait.
  std::variant<http_response, platform_unavailable>
  call(http_request Request,
       std::chrono::milliseconds Wait = std::chrono::milliseconds(0)) const;

  /// As call(). Where the answer is held back, \p Check is made; without one,
  /// \p Probe is sent, for which any answer will do. A platform that answers
  /// neither is silent, and may never answer what it got meanwhile. The answer
  /// to a \p Check that brings news is returned in place of the held one.
  std::variant<http_response, platform_unavailable>
  hold(http_request Request, std::chrono::milliseconds Wait, http_request Probe,
       const call_check &Check = {}) const;

private:
  std::string Address;
  std::chrono::milliseconds CallTimeout;
  std::stop_token Stop;
};

} // namespace masticproxy

#endif
