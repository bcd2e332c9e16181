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
    : Limits(NewLimits), CommonBalance(Limits.Initial),
      RetryBalance(Limits.Initial) {}

void load_budget::firstAttempt() {
  CommonBalance = std::min(Limits.Capacity, CommonBalance + Limits.CommonShare);
  RetryBalance = std::min(Limits.Capacity, RetryBalance + Limits.RetryShare);
}

bool load_budget::takeHedge() { return take(CommonBalance); }

// A retry follows a failure, so the retry balance is spent only during faults
// and faults need no separate detection. It is spent first, which leaves the
// common balance to the hedges.
bool load_budget::takeRetry() {
  return take(RetryBalance) || take(CommonBalance);
}

bool load_budget::hasRetry() const {
  return RetryBalance >= 1.0 || CommonBalance >= 1.0;
}
