/// \file
/// What a caller's request is taken for, without a socket.

#include "masticproxy/src/Daemon/query_request.h"

#include <criterion/criterion.h>

using namespace masticproxy;

namespace {

constexpr std::string_view Target = "/v1/indexes/suites/query?profile=lookup";

std::variant<query_arrived, http_response> read(std::string_view RequestTarget,
                                                std::string RequestId = "r-1") {
  http_request Request;
  Request.Method = "POST";
  Request.Target = RequestTarget;
  Request.Body = "{}";
  return readQueryRequest(std::move(Request), std::move(RequestId));
}

bool isRejected(std::string_view RequestTarget, std::string RequestId = "r-1") {
  auto Read = read(RequestTarget, std::move(RequestId));
  auto *Response = std::get_if<http_response>(&Read);
  return Response && Response->Status == 400;
}

} // namespace

Test(query_request, takes_index_profile_id_and_body) {
  auto Query = std::get<query_arrived>(read(Target));
  cr_assert(Query.Index == "suites");
  cr_assert(Query.Profile == "lookup");
  cr_assert(Query.RequestId == "r-1");
  cr_assert(Query.Body == "{}");
}

Test(query_request, is_one_only_below_the_indexes) {
  cr_assert(isQueryTarget(Target));
  for (std::string_view Other :
       {"", "/", "/v1/indexes//query", "/v1/indexes/query",
        "/v1/indexes/a/queryx", "x/v1/indexes/a/query",
        "/?/v1/indexes/a/query"})
    cr_assert(!isQueryTarget(Other));
}

Test(query_request, needs_names_that_are_names) {
  for (std::string_view Bad :
       {"/v1/indexes/suites/query", "/v1/indexes/suites/query?profile=",
        "/v1/indexes/suites/query?profile=%0d%0a",
        "/v1/indexes/a%00/query?profile=lookup",
        "/v1/indexes/a/b/query?profile=lookup"})
    cr_assert(isRejected(Bad));
}

Test(query_request, needs_an_id_that_fits_a_header) {
  for (std::string_view Bad : {"", "a b", "a\r\nx-not-run: y", "\xff", "\x7f"})
    cr_assert(isRejected(Target, std::string(Bad)));
  cr_assert(isRejected(Target, std::string(129, 'a')));
  cr_assert(!isRejected(Target, std::string(128, 'a')));
}

Test(query_request, gets_its_id_back_with_a_rejection) {
  auto Read = read("/v1/indexes/suites/query");
  auto Response = std::get<http_response>(Read);
  cr_assert(findHeader(Response.Headers, "x-request-id") == "r-1");
}
