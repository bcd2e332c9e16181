#include "masticproxy/src/Net/platform_caller.h"

#include "masticproxy/src/Net/held_call.h"
#include "masticproxy/src/Net/http_call.h"

using namespace masticproxy;

namespace {

/// Time without news after which a call that is held back is probed: many times
/// what an answer takes, so that a call which brings news costs no probe, and
/// less than any silence that is of account.
constexpr std::chrono::milliseconds ProbeAfter{300};

std::variant<http_response, platform_unavailable>
toAnswer(exchange_result Result) {
  if (auto *Failure = std::get_if<exchange_error>(&Result))
    return platform_unavailable{Failure->Text};
  return std::get<http_response>(std::move(Result));
}

} // namespace

std::variant<http_response, platform_unavailable>
platform_caller::call(http_request Request,
                      std::chrono::milliseconds Wait) const {
  return toAnswer(
      httpCall(Address, std::move(Request), Wait + CallTimeout, Stop));
}

std::variant<http_response, platform_unavailable>
platform_caller::hold(http_request Request, std::chrono::milliseconds Wait,
                      http_request Probe, const call_check &Check) const {
  return toAnswer(heldCall(Address, std::move(Request), Wait + CallTimeout,
                           {std::move(Probe), ProbeAfter, CallTimeout}, Check,
                           Stop));
}
