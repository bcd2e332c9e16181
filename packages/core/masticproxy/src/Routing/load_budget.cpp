#include "masticproxy/src/Routing/load_budget.h"

#include <algorithm>

using namespace masticproxy;

namespace {

bool take(double &Balance) {
  if (Balance < 1.0)
    return false;
  Balance -= 1.0;
  return true;
}

} // namespace

load_budget::load_budget(load_budget_limits NewLimits)
    : Limits(NewLimits), Ordinary(Limits.Initial), Fault(Limits.Initial) {}

void load_budget::firstAttempt() {
  Ordinary = std::min(Limits.Capacity, Ordinary + Limits.OrdinaryShare);
  Fault = std::min(Limits.Capacity, Fault + Limits.FaultShare);
}

bool load_budget::takeHedge() { return take(Ordinary); }

// A retry needs a failure before it, so the second part is only ever spent
// under a fault and no separate detection of faults is needed. It is spent
// first, which leaves the ordinary part to the hedges.
bool load_budget::takeRetry() { return take(Fault) || take(Ordinary); }

bool load_budget::hasRetry() const { return Fault >= 1.0 || Ordinary >= 1.0; }
