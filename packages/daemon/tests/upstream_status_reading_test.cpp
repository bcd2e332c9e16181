/// \file
/// What upstreams say of themselves in the header of their responses.

#include "masticproxy/src/Daemon/upstream_status_reading.h"

#include <criterion/criterion.h>

using namespace masticproxy;
using std::chrono::milliseconds;

namespace {

upstream_status read(unsigned Status, const std::string &Name,
                     const std::string &Value) {
  http_response Response;
  Response.Status = Status;
  Response.Headers = {{Name, Value}};
  return readUpstreamStatus({}, Response, {});
}

} // namespace

Test(upstream_status, is_leaving_whatever_the_status) {
  for (unsigned Status : {200, 404, 500, 503})
    cr_assert(read(Status, "x-leaving", "1").Leaving);
  cr_assert(not read(200, "x-leaving", "0").Leaving);
  cr_assert(not read(200, "x-other", "1").any());
}

// Another process at the address speaks of itself.
Test(upstream_status, is_not_that_of_another_process) {
  cr_assert(not read(421, "x-leaving", "1").any());
  cr_assert(not read(421, "retry-after", "1").any());
}

Test(upstream_status, names_a_pause_with_a_refusal_only) {
  cr_assert(read(503, "retry-after", "2").RetryAfter == milliseconds(2000));
  cr_assert(not read(200, "retry-after", "2").any());
  cr_assert(not read(500, "retry-after", "2").any());
}

Test(upstream_status, names_a_pause_in_seconds_with_fractions) {
  cr_assert(readRetryAfter("0.25") == milliseconds(250));
  cr_assert(readRetryAfter("1.0001") == milliseconds(1001));
  cr_assert(readRetryAfter("0") == milliseconds(0));
  for (const char *Bad : {"", "soon", "-1", "1 s", "0x10", "1e9", "nan", "inf",
                          "99999999999", "Wed, 21 Oct 2015 07:28:00 GMT"})
    cr_assert(not readRetryAfter(Bad), "%s", Bad);
}
