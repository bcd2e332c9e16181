/// \file
/// The time that a request id carries.

#include "masticproxy/Claims"

#include <criterion/criterion.h>

using namespace masticproxy;
using std::chrono::milliseconds;

namespace {

constexpr claim_timing Timing;
constexpr milliseconds At{1764842400000};

request_id_state judge(std::string_view Id, milliseconds Now) {
  return judgeRequestId(Id, Now, Timing);
}

} // namespace

Test(request_time, reads_both_forms) {
  cr_assert(requestTime("1764842400000-x") == At);
  cr_assert(requestTime("019aeabc-4500-7abc-8def-0123456789ab") ==
            milliseconds(0x019aeabc4500));
}

Test(request_time, takes_nothing_else_for_a_time) {
  for (std::string_view Id :
       {"", "r", "1764842400000", "1764842400000-", "-176484240000-x",
        "176484240000-x", "1764842400000x", "17648424x0000-y",
        "019aeabc-4500-4abc-8def-0123456789ab",
        "019aeabc-4500-7abc-8def-0123456789ag"})
    cr_assert(!requestTime(Id));
}

Test(request_time, bounds_the_age_on_both_sides) {
  std::string_view Id = "1764842400000-x";
  cr_assert(judge(Id, At - Timing.MaxAhead) == request_id_state::Usable);
  cr_assert(judge(Id, At - Timing.MaxAhead - milliseconds(1)) ==
            request_id_state::Ahead);
  cr_assert(judge(Id, At + Timing.MaxAge) == request_id_state::Usable);
  cr_assert(judge(Id, At + Timing.MaxAge + milliseconds(1)) ==
            request_id_state::TooOld);
  cr_assert(judge("r", At) == request_id_state::WithoutTime);
}
