#include "masticproxy/src/Net/platform_caller.h"

#include "masticproxy/src/Net/http_call.h"

using namespace masticproxy;

std::variant<http_response, platform_unavailable>
platform_caller::call(http_request Request,
                      std::chrono::milliseconds Wait) const {
  exchange_result Result =
      httpCall(Address, std::move(Request), Wait + CallTimeout, Stop);
  if (auto *Failure = std::get_if<exchange_error>(&Result))
    return platform_unavailable{Failure->Text};
  return std::get<http_response>(std::move(Result));
}
