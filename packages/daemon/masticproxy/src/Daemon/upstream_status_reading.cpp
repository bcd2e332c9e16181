#include "masticproxy/src/Daemon/upstream_status_reading.h"

#include "masticproxy/src/Net/http_status.h"

#include <charconv>
#include <cmath>

using namespace masticproxy;

namespace {

/// Above this a number of seconds is no span that anybody means.
constexpr double MostSeconds = 1e6;

} // namespace

std::optional<std::chrono::milliseconds>
masticproxy::readRetryAfter(std::string_view Text) {
  double Seconds = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Error] =
      std::from_chars(Text.data(), End, Seconds, std::chars_format::fixed);
  bool Good = Error == std::errc() && Stop == End && std::isfinite(Seconds) &&
              Seconds >= 0 && Seconds <= MostSeconds;
  if (!Good)
    return std::nullopt;
  return std::chrono::ceil<std::chrono::milliseconds>(
      std::chrono::duration<double>(Seconds));
}

upstream_status masticproxy::readUpstreamStatus(const send_attempt &Attempt,
                                                const http_response &Response,
                                                const forwarding_names &Names) {
  upstream_status Status{Attempt.Upstream, Attempt.Process};
  // Another process answered, and speaks of itself.
  if (Response.Status == StatusMisdirected)
    return Status;
  std::string_view Leaving = findHeader(Response.Headers, Names.Leaving);
  Status.Leaving = !Leaving.empty() && Leaving != "0";
  if (Response.Status == StatusUnavailable)
    Status.RetryAfter =
        readRetryAfter(findHeader(Response.Headers, "retry-after"));
  return Status;
}
