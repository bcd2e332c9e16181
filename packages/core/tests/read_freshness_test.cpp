/// \file
/// When changes may be watched at copies of the platform that lag.

#include "masticproxy/Discovery"

#include <criterion/criterion.h>

using namespace masticproxy;
using std::chrono::seconds;

Test(read_freshness, lags_only_where_the_bound_leaves_time_to_apply) {
  cr_assert(watchFreshness(seconds(5)) == read_freshness::MayLag);
  cr_assert(watchFreshness(seconds(8)) == read_freshness::MayLag);
  cr_assert(watchFreshness(seconds(3)) == read_freshness::Newest);
  cr_assert(watchFreshness(seconds(1)) == read_freshness::Newest);
}
