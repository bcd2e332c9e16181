#include "masticproxy/src/Daemon/outcome_response.h"

#include "masticproxy/src/Base/json_text.h"
#include "masticproxy/src/Net/http_status.h"

#include <nlohmann/json.hpp>

using namespace masticproxy;

namespace {

nlohmann::json coverageJson(const coverage &Coverage) {
  return {{"answered", Coverage.Answered},
          {"asked", Coverage.Asked},
          {"share", Coverage.share()}};
}

/// An upstream's body is JSON where it parses, and a text otherwise.
nlohmann::json bodyJson(const std::string &Body) {
  if (jsonDepth(Body) > MaxJsonDepth)
    return Body;
  nlohmann::json Parsed =
      nlohmann::json::parse(Body, nullptr, /*allow_exceptions=*/false);
  return Parsed.is_discarded() ? nlohmann::json(Body) : Parsed;
}

http_response jsonResponse(unsigned Status, const nlohmann::json &Root) {
  http_response Response;
  Response.Status = Status;
  Response.Headers.emplace_back("content-type", "application/json");
  // Foreign bytes that are no UTF-8 must not turn an answer into a failure.
  Response.Body =
      Root.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  Response.Body.push_back('\n');
  return Response;
}

struct renderer {
  std::string_view RequestId;

  http_response operator()(const answered &Outcome) const {
    nlohmann::json Results = nlohmann::json::array();
    for (const shard_result &Result : Outcome.Results)
      Results.push_back(
          {{"shard", Result.Shard}, {"body", bodyJson(Result.Body)}});
    return jsonResponse(StatusOk, {{"code", "answered"},
                                   {"request_id", RequestId},
                                   {"snapshot", Outcome.Snapshot},
                                   {"coverage", coverageJson(Outcome.Coverage)},
                                   {"results", Results}});
  }

  http_response operator()(const not_run &Outcome) const {
    http_response Response =
        errorResponse(StatusUnavailable, "not_run", Outcome.Reason, RequestId);
    Response.Headers.emplace_back("retry-after", "1");
    return Response;
  }

  http_response operator()(const outcome_unknown &Outcome) const {
    return errorResponse(StatusBadGateway, "outcome_unknown", Outcome.Reason,
                         RequestId);
  }

  http_response operator()(const too_late &Outcome) const {
    return jsonResponse(
        StatusGatewayTimeout,
        {{"code", "too_late"},
         {"message", "the wait ended below the profile's coverage"},
         {"request_id", RequestId},
         {"coverage", coverageJson(Outcome.Coverage)}});
  }

  http_response operator()(const unknown_profile &) const {
    return errorResponse(StatusNotFound, "unknown_profile",
                         "no such profile is in force; the request was not run",
                         RequestId);
  }

  http_response operator()(const unknown_index &) const {
    return errorResponse(StatusNotFound, "unknown_index",
                         "no such index is in force; the request was not run",
                         RequestId);
  }

  http_response operator()(const unknown_route &) const {
    return errorResponse(StatusNotFound, "unknown_route",
                         "no such route is in force; the request was not run",
                         RequestId);
  }

  // The native interface uses no keys.
  http_response operator()(const unknown_key &) const {
    return errorResponse(StatusUnauthorized, "unknown_key",
                         "the request has no key of a team in force; it was "
                         "not run",
                         RequestId);
  }

  http_response operator()(const over_quota &) const {
    return errorResponse(
        StatusTooManyRequests, "over_quota",
        "the team is beyond its quota; the request was not run", RequestId);
  }

  // Nobody reads it.
  http_response operator()(const caller_gone &) const { return {}; }

  http_response operator()(const condemned &Outcome) const {
    return jsonResponse(
        StatusUnprocessable,
        {{"code", "condemned"},
         {"message", "upstreams died while they ran this query; it is not run "
                     "again for some minutes"},
         {"request_id", RequestId},
         {"may_have_run", Outcome.MayHaveRun}});
  }

  http_response operator()(const bad_request &Outcome) const {
    return errorResponse(StatusBadRequest, "bad_request", Outcome.Reason,
                         RequestId);
  }
};

} // namespace

http_response masticproxy::toCallerResponse(std::string_view RequestId,
                                            query_outcome Outcome) {
  http_response Response = std::visit(renderer{RequestId}, Outcome);
  Response.Headers.emplace_back("x-request-id", std::string(RequestId));
  return Response;
}

http_response masticproxy::errorResponse(unsigned Status, std::string_view Code,
                                         std::string_view Message,
                                         std::string_view RequestId) {
  return jsonResponse(
      Status,
      {{"code", Code}, {"message", Message}, {"request_id", RequestId}});
}
