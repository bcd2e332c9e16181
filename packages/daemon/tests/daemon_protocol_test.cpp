/// \file
/// What callers and upstreams are told, and the daemon's command line.

#include "masticproxy/Daemon"
#include "masticproxy/Query"
#include "masticproxy/src/Daemon/daemon_options.h"
#include "masticproxy/src/Daemon/outcome_response.h"
#include "masticproxy/src/Daemon/upstream_protocol.h"

#include <criterion/criterion.h>

#include <stdexcept>

using namespace masticproxy;

namespace {

send_attempt attemptOf(std::string RequestId) {
  send_attempt Attempt;
  Attempt.Attempt = 1;
  Attempt.RequestId = std::move(RequestId);
  return Attempt;
}

attempt_failure failureOf(unsigned Status, std::string_view NotRun,
                          std::string_view Id = "r") {
  http_response Response;
  Response.Status = Status;
  if (!Id.empty())
    Response.Headers.emplace_back("x-request-id", std::string(Id));
  if (!NotRun.empty())
    Response.Headers.emplace_back("x-not-run", std::string(NotRun));
  auto Result = fromUpstreamResponse(attemptOf("r"), std::move(Response));
  return std::get<attempt_failed>(Result).Failure;
}

daemon_options read(std::vector<std::string> Words,
                    const std::string &FallbackFile = {}) {
  std::vector<char *> Args;
  Words.insert(Words.begin(), "masticproxyd");
  Args.reserve(Words.size());
  for (std::string &Word : Words)
    Args.push_back(Word.data());
  return readDaemonOptions(static_cast<int>(Args.size()), Args.data(),
                           FallbackFile);
}

} // namespace

Test(outcomes, have_a_status_and_a_code_each) {
  struct {
    query_outcome Outcome;
    unsigned Status;
    std::string_view Code;
  } Cases[] = {{answered{"s1", {1, 1}, {}}, 200, "answered"},
               {not_run{"why"}, 503, "not_run"},
               {outcome_unknown{"why"}, 502, "outcome_unknown"},
               {too_late{{1, 2}}, 504, "too_late"},
               {unknown_profile{}, 404, "unknown_profile"},
               {unknown_index{}, 404, "unknown_index"}};
  for (const auto &Case : Cases) {
    http_response Response = toCallerResponse("r-1", Case.Outcome);
    cr_assert(Response.Status == Case.Status);
    std::string Code = "\"code\":\"" + std::string(Case.Code) + "\"";
    cr_assert(Response.Body.find(Code) != std::string::npos);
    cr_assert(Response.Body.find("\"request_id\":\"r-1\"") !=
              std::string::npos);
    cr_assert(findHeader(Response.Headers, "x-request-id") == "r-1");
  }
}

Test(outcomes, keep_foreign_bytes_out_of_the_json) {
  shard_result Result;
  Result.Shard = "0";
  Result.Body = "\xff\xfe";
  http_response Response =
      toCallerResponse("r", answered{"s1", {1, 1}, {Result}});
  cr_assert(Response.Status == 200);
  cr_assert(Response.Body.find('\xff') == std::string::npos);
}

Test(upstream_responses, mean_not_run_only_where_the_upstream_says_so) {
  cr_assert(failureOf(503, "overload") == attempt_failure::Refused);
  cr_assert(failureOf(503, "draining") == attempt_failure::Draining);
  cr_assert(failureOf(410, "snapshot_gone") == attempt_failure::SnapshotGone);
  cr_assert(failureOf(410, "") == attempt_failure::Unknown);
  cr_assert(failureOf(500, "") == attempt_failure::Unknown);
  cr_assert(failureOf(503, "") == attempt_failure::Unknown);
}

// A late copy of an earlier rejection: the request it came for runs meanwhile.
Test(upstream_responses, mean_not_run_only_for_the_request_that_they_name) {
  cr_assert(failureOf(503, "overload", "") == attempt_failure::Unknown);
  for (unsigned Status : {200, 410, 503}) {
    http_response Response;
    Response.Status = Status;
    Response.Headers = {{"x-request-id", "earlier"}, {"x-not-run", "overload"}};
    auto Result = fromUpstreamResponse(attemptOf("r"), std::move(Response));
    cr_assert(std::holds_alternative<stray_response>(Result));
  }
}

Test(daemon_command_line, needs_a_settings_file_unless_it_only_prints) {
  cr_assert_throw(read({}), std::invalid_argument);
  cr_assert_throw(read({"--nothing"}), std::invalid_argument);
  cr_assert_throw(read({"--settings"}), std::invalid_argument);
  cr_assert_throw(read({"--settings", "a", "b"}), std::invalid_argument);
  cr_assert(read({"--settings", "a", "--check"}).CheckOnly);
  cr_assert(read({"--print-settings-reference"}).PrintReference);
  cr_assert(read({}, "b").FallbackFile == "b");
}
