#include "masticproxy/src/Quota/refilled_bucket.h"

#include <algorithm>
#include <cmath>

using namespace masticproxy;

namespace {

/// Longest wait for a token that is stated.
constexpr std::chrono::seconds LongestWait{60};

/// Allows for rounding: so little less than a token counts as one.
constexpr double Tolerance = 1e-9;

} // namespace

void refilled_bucket::refill(double PerSecond, double Capacity,
                             time_point Now) {
  std::chrono::duration<double> Past = std::max(duration(0), Now - At);
  At = std::max(At, Now);
  Tokens = std::min(Capacity, Tokens + PerSecond * Past.count());
}

unsigned refilled_bucket::take(unsigned Wanted) {
  double Whole = std::floor(std::max(0.0, Tokens) + Tolerance);
  unsigned Taken = Whole >= Wanted ? Wanted : static_cast<unsigned>(Whole);
  Tokens -= Taken;
  return Taken;
}

duration refilled_bucket::untilNext(double PerSecond) const {
  if (Tokens + Tolerance >= 1)
    return duration(0);
  std::chrono::duration<double> Longest = LongestWait;
  double Missing = 1 - Tokens;
  bool InTime = Missing < PerSecond * Longest.count();
  std::chrono::duration<double> Wait(InTime ? Missing / PerSecond
                                            : Longest.count());
  return std::chrono::duration_cast<duration>(Wait);
}
