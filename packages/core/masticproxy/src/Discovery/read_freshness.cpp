#include "masticproxy/src/Discovery/read_freshness.h"

#include "masticproxy/src/Discovery/check_plan.h"

#include <algorithm>

using namespace masticproxy;

namespace {

/// Longest lag of a copy that is reckoned with.
constexpr std::chrono::milliseconds LongestLag{2000};

/// Longest time from the news to their being in force on a VM short of
/// processor time: the pause in which changes gather, and the catalogue.
constexpr std::chrono::milliseconds ApplyTime{1500};

/// The same for news that a check brings, which wait for no others.
constexpr std::chrono::milliseconds CheckedApplyTime{1000};

/// Least time between two checks that are answered from a copy. They cost a
/// part of others, but there are more of them.
constexpr std::chrono::milliseconds LeastCopyInterval{1000};

/// Least time for which no change may be known.
constexpr std::chrono::milliseconds LeastAge{500};

} // namespace

duration masticproxy::longestLag(read_freshness Freshness) {
  return Freshness == read_freshness::MayLag ? LongestLag : duration(0);
}

read_freshness masticproxy::watchFreshness(duration Within) {
  return Within >= LongestLag + ApplyTime ? read_freshness::MayLag
                                          : read_freshness::Newest;
}

check_plan masticproxy::checksFor(duration Within) {
  check_plan Plan;
  Plan.LongestAge = std::max<duration>(Within - CheckedApplyTime, LeastAge);
  if (Plan.LongestAge >= LongestLag + LeastCopyInterval)
    Plan.Freshness = read_freshness::MayLag;
  return Plan;
}
