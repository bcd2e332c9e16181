#include "masticproxy/src/Discovery/read_freshness.h"

#include "masticproxy/src/Discovery/check_plan.h"

#include <algorithm>

using namespace masticproxy;

namespace {

/// Least bound at which changes are watched at copies. Where it is shorter,
/// copies are seldom shown to be young enough.
constexpr std::chrono::milliseconds LeastBoundOfCopies{3500};

/// Longest time from the news that a check brings to their being in force, on a
/// VM short of processor time.
constexpr std::chrono::milliseconds ApplyTime{1000};

/// Least time for which no change may be known.
constexpr std::chrono::milliseconds LeastAge{500};

} // namespace

read_freshness masticproxy::watchFreshness(duration Within) {
  return Within >= LeastBoundOfCopies ? read_freshness::MayLag
                                      : read_freshness::Newest;
}

check_plan masticproxy::checksFor(duration Within, duration CheckedWithin) {
  // A watch at a copy tells changes as late as the copy is old.
  duration Bound = watchFreshness(Within) == read_freshness::MayLag
                       ? std::min(Within, CheckedWithin)
                       : CheckedWithin;
  return {std::max<duration>(Bound - ApplyTime, LeastAge)};
}
