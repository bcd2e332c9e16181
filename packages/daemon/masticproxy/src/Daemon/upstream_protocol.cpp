#include "masticproxy/src/Daemon/upstream_protocol.h"

#include "masticproxy/src/Net/http_status.h"

using namespace masticproxy;

namespace {

/// An upstream states in `x-not-run` that it did not run the request; without
/// it, or without the request's id, nothing may be assumed.
attempt_failure failureOf(const http_response &Response) {
  std::string_view Reason = findHeader(Response.Headers, "x-not-run");
  if (Reason.empty() || findHeader(Response.Headers, "x-request-id").empty())
    return attempt_failure::Unknown;
  if (Response.Status == StatusGone)
    return attempt_failure::SnapshotGone;
  if (Response.Status == StatusUnavailable && Reason == "draining")
    return attempt_failure::Draining;
  return attempt_failure::Refused;
}

} // namespace

http_request
masticproxy::toUpstreamRequest(const send_attempt &Attempt,
                               std::chrono::milliseconds Remaining) {
  http_request Request;
  Request.Method = "POST";
  Request.Target = "/v1/query";
  Request.Headers = {
      {"x-request-id", Attempt.RequestId},
      {"x-attempt", std::to_string(Attempt.Attempt)},
      {"x-index", Attempt.Index},
      {"x-snapshot", Attempt.Snapshot},
      {"x-shard", Attempt.Shard},
      {"x-deadline-ms", std::to_string(Remaining.count())},
  };
  Request.Body = *Attempt.Body;
  return Request;
}

http_request masticproxy::toCancelRequest(attempt_id Attempt) {
  http_request Request;
  Request.Method = "POST";
  Request.Target = "/v1/cancel";
  Request.Headers = {{"x-attempt", std::to_string(Attempt)}};
  return Request;
}

upstream_reading masticproxy::fromUpstreamResponse(const send_attempt &Attempt,
                                                   http_response Response) {
  std::string_view Id = findHeader(Response.Headers, "x-request-id");
  if (!Id.empty() && Id != Attempt.RequestId)
    return stray_response{};
  if (Response.Status != StatusOk)
    return attempt_failed{Attempt.Attempt, failureOf(Response)};
  attempt_answered Answer;
  Answer.Attempt = Attempt.Attempt;
  Answer.Result.RequestId = Id;
  Answer.Result.Snapshot = findHeader(Response.Headers, "x-snapshot");
  Answer.Result.Shard = findHeader(Response.Headers, "x-shard");
  Answer.Result.Body = std::move(Response.Body);
  return Answer;
}
