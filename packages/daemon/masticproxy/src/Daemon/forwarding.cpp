#include "masticproxy/src/Daemon/forwarding.h"

#include "masticproxy/src/Base/ascii_case.h"
#include "masticproxy/src/Daemon/end_to_end_headers.h"
#include "masticproxy/src/Daemon/outcome_response.h"
#include "masticproxy/src/Net/http_status.h"
#include "masticproxy/src/Query/status_class.h"
#include "masticproxy/src/Query/top_k_merge.h"

#include <charconv>
#include <cstdio>
#include <optional>

using namespace masticproxy;

namespace {

/// Pause for a caller that was refused for another reason than a known one:
/// long enough for an upstream to finish what it runs.
constexpr std::chrono::milliseconds UsualRetryAfter{100};

/// The host of a `Host` field, without the port.
std::string hostOf(std::string_view Field) {
  std::size_t Colon = Field.rfind(':');
  // An IPv6 number has colons within its brackets.
  bool HasPort =
      Colon != std::string_view::npos && Field.find(']', Colon) == Field.npos;
  return lowerCase(std::string(HasPort ? Field.substr(0, Colon) : Field));
}

std::optional<std::chrono::milliseconds> milliseconds(std::string_view Text) {
  std::int64_t Number = 0;
  auto [Stop, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  if (Error != std::errc() || Text.empty() || Number < 0)
    return std::nullopt;
  return std::chrono::milliseconds(Number);
}

/// \returns the key of the caller's team, or "" if there are none or several.
std::string onlyKey(const http_headers &Headers,
                    const forwarding_names &Names) {
  const std::string *Key = nullptr;
  for (const auto &[Name, Value] : Headers) {
    if (Name != Names.Key)
      continue;
    if (Key)
      return {};
    Key = &Value;
  }
  return Key ? *Key : std::string();
}

std::string secondsText(std::chrono::milliseconds Span) {
  std::chrono::duration<double> Seconds = Span;
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%.3f", Seconds.count());
  return Text;
}

http_response wholeResponse(answered Outcome) {
  shard_result &Only = Outcome.Results.front();
  http_response Response;
  Response.Status = Only.Status;
  Response.Headers = std::move(Only.Headers);
  Response.Body = std::move(Only.Body);
  return Response;
}

http_response mergedResponse(const answered &Outcome,
                             const forwarding_names &Names) {
  std::vector<std::string_view> Bodies;
  std::string Signatures;
  for (const shard_result &Result : Outcome.Results) {
    Bodies.push_back(Result.Body);
    Signatures += (Signatures.empty() ? "" : ", ") + Result.Signature;
  }
  std::size_t Missing = Outcome.Coverage.Asked - Outcome.Coverage.Answered;
  http_response Response;
  Response.Headers = {
      {"content-type", "application/octet-stream"},
      {std::string(Names.Signatures), std::move(Signatures)},
      {std::string(Names.MissingShards), std::to_string(Missing)}};
  Response.Body = mergeTopK(Bodies, Outcome.Records);
  return Response;
}

/// \returns why the upstream did not run the request, if it states that.
std::optional<attempt_failure> statedNotRun(const http_response &Response,
                                            const forwarding_names &Names) {
  // An upstream that is not the expected one has not run the request.
  if (Response.Status == StatusMisdirected)
    return attempt_failure::Misdirected;
  if (!findHeader(Response.Headers, Names.NotRun).empty())
    return attempt_failure::Refused;
  return std::nullopt;
}

http_response refusal(std::string_view RequestId, std::string_view Code,
                      std::string_view Reason,
                      std::chrono::milliseconds RetryAfter,
                      unsigned Status = StatusUnavailable) {
  http_response Response = errorResponse(Status, Code, Reason, RequestId);
  std::chrono::milliseconds Pause =
      RetryAfter.count() > 0 ? RetryAfter : UsualRetryAfter;
  Response.Headers.emplace_back("retry-after", secondsText(Pause));
  return Response;
}

struct forwarded_renderer {
  std::string_view RequestId;
  const forwarding_names &Names;

  http_response operator()(answered Outcome) const {
    if (Outcome.Form == answer_form::Whole && Outcome.Results.size() == 1)
      return wholeResponse(std::move(Outcome));
    return mergedResponse(Outcome, Names);
  }
  http_response operator()(const not_run &Outcome) const {
    return refusal(RequestId, "not_run", Outcome.Reason, Outcome.RetryAfter);
  }
  http_response operator()(const outcome_unknown &Outcome) const {
    return errorResponse(StatusBadGateway, "outcome_unknown", Outcome.Reason,
                         RequestId);
  }
  http_response operator()(const too_late &) const {
    return errorResponse(StatusGatewayTimeout, "too_late",
                         "too few shards answered", RequestId);
  }
  http_response operator()(const unknown_route &) const {
    return errorResponse(StatusNotFound, "unknown_route",
                         "no route in force takes this host and path; the "
                         "request was not run",
                         RequestId);
  }
  http_response operator()(const unknown_key &) const {
    return errorResponse(
        StatusUnauthorized, "unknown_key",
        "the request has no key of a team in force, or several "
        "keys; it was not run",
        RequestId);
  }
  http_response operator()(const over_quota &Outcome) const {
    return refusal(RequestId, "over_quota",
                   "the team is beyond its quota; the request was not run",
                   Outcome.RetryAfter, StatusTooManyRequests);
  }
  http_response operator()(const condemned &Outcome) const {
    if (Outcome.MayHaveRun)
      return errorResponse(StatusBadGateway, "condemned",
                           "upstreams died while they ran this request",
                           RequestId);
    return refusal(RequestId, "condemned",
                   "upstreams died while they ran this request; it is not run "
                   "again for some minutes",
                   {});
  }
  http_response operator()(const unknown_profile &) const {
    return refusal(RequestId, "not_run", "the route's profile is not in force",
                   {});
  }
  http_response operator()(const unknown_index &) const {
    return refusal(RequestId, "not_run", "the route's index is not in force",
                   {});
  }
  http_response operator()(const bad_request &Outcome) const {
    return errorResponse(StatusBadRequest, "bad_request", Outcome.Reason,
                         RequestId);
  }
  // Nobody reads it.
  http_response operator()(const caller_gone &) const { return {}; }
};

} // namespace

query_arrived masticproxy::toForwardedQuery(http_request Request,
                                            const forwarding_names &Names) {
  query_arrived Query;
  Query.RequestId = findHeader(Request.Headers, Names.RequestId);
  Query.CallerWait = milliseconds(findHeader(Request.Headers, Names.TimeLeft));
  Query.Key = onlyKey(Request.Headers, Names);
  auto Forwarded = std::make_shared<forwarded_request>();
  Forwarded->Host = hostOf(findHeader(Request.Headers, "host"));
  Forwarded->Headers = endToEndHeaders(std::move(Request.Headers));
  std::erase_if(Forwarded->Headers, [&](const auto &Field) {
    return Field.first == Names.TimeLeft || Field.first == Names.Key ||
           Field.first == Names.Team || Field.first == Names.ExpectedInstance;
  });
  Forwarded->Method = std::move(Request.Method);
  Forwarded->Target = std::move(Request.Target);
  Forwarded->Body = std::move(Request.Body);
  Query.Forwarded = std::move(Forwarded);
  return Query;
}

http_response masticproxy::toForwardedResponse(std::string_view RequestId,
                                               query_outcome Outcome,
                                               const forwarding_names &Names) {
  return std::visit(
      [&](auto O) {
        return forwarded_renderer{RequestId, Names}(std::move(O));
      },
      std::move(Outcome));
}

http_request
masticproxy::toForwardedAttempt(const send_attempt &Attempt,
                                std::chrono::milliseconds Remaining,
                                const forwarding_names &Names) {
  const forwarded_request &From = *Attempt.Forwarded;
  http_request Request;
  Request.Method = From.Method;
  Request.Target = From.Target;
  Request.Headers = From.Headers;
  Request.Headers.emplace_back(Names.TimeLeft,
                               std::to_string(Remaining.count()));
  if (!Attempt.Team.empty())
    Request.Headers.emplace_back(Names.Team, Attempt.Team);
  if (!Attempt.Instance.empty())
    Request.Headers.emplace_back(Names.ExpectedInstance, Attempt.Instance);
  Request.Body = From.Body;
  return Request;
}

upstream_reading
masticproxy::fromForwardedResponse(const send_attempt &Attempt,
                                   http_response Response,
                                   const forwarding_names &Names) {
  // First of all: a copy of an earlier response says nothing of this attempt.
  std::string_view Id = findHeader(Response.Headers, Names.RequestId);
  if (!Id.empty() && Id != Attempt.RequestId)
    return stray_response{};
  std::optional<attempt_failure> NotRun = statedNotRun(Response, Names);
  if (NotRun && Id.empty())
    return attempt_failed{Attempt.Attempt, attempt_failure::Unknown};
  if (NotRun)
    return attempt_failed{Attempt.Attempt, *NotRun};
  attempt_answered Answer;
  Answer.Attempt = Attempt.Attempt;
  upstream_result &Result = Answer.Result;
  Result.Signature = findHeader(Response.Headers, Names.Signature);
  bool Unsigned =
      Result.Signature.empty() && Response.Status < FirstRedirection;
  if (Unsigned)
    return attempt_failed{Attempt.Attempt, attempt_failure::Failed};
  Result.RequestId = Attempt.RequestId;
  Result.Snapshot = Attempt.Snapshot;
  Result.Shard = Attempt.Shard;
  Result.Status = Response.Status;
  std::string Length(findHeader(Response.Headers, "content-length"));
  Result.Headers = endToEndHeaders(std::move(Response.Headers));
  // The response to HEAD states the length of a body that it has not.
  if (Attempt.Forwarded->Method == "HEAD" && !Length.empty())
    Result.Headers.emplace_back("content-length", std::move(Length));
  Result.Body = std::move(Response.Body);
  return Answer;
}
