/// \file
/// Tests that hedges and retries never exceed their shares of the first
/// attempts.

#include "draws.h"
#include "masticproxy/Routing"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <vector>

using namespace masticproxy;

namespace {

/// Attempts granted up to one step of a schedule.
struct granted {
  double First = 0;
  double Hedges = 0;
  double Retries = 0;
};

/// Asserts that at most \p Saved and what was earned since \p From was granted
/// up to \p To.
void checkSpan(const granted &From, const granted &To, double Saved) {
  const load_budget_limits Limits;
  double First = To.First - From.First;
  double Hedges = To.Hedges - From.Hedges;
  double All = Hedges + To.Retries - From.Retries;
  // Sums of shares are not exact.
  constexpr double Rounding = 1e-6;
  RC_ASSERT(Hedges <= Saved + Limits.CommonShare * First + Rounding);
  RC_ASSERT(All <= 2 * Saved +
                       (Limits.CommonShare + Limits.RetryShare) * First +
                       Rounding);
}

/// \returns whether the bounds hold in generated schedules of bursts, for each
/// span between two bursts.
template <typename Budget> bool holds() {
  return rc::check([] {
    const load_budget_limits Limits;
    Budget Tested;
    std::vector<granted> Steps{{}};
    for (int Burst = draw(1, 12); Burst > 0; --Burst) {
      granted Now = Steps.back();
      int Kind = draw(0, 4);
      for (int Remaining = draw(0, 1000); Remaining > 0; --Remaining) {
        if (Kind == 0 || Kind == 1) {
          Tested.firstAttempt();
          ++Now.First;
        } else if (Kind == 2) {
          Now.Hedges += Tested.takeHedge() ? 1 : 0;
        } else {
          Now.Retries += Tested.takeRetry() ? 1 : 0;
        }
      }
      checkSpan(Steps.front(), Now, Limits.Initial);
      for (const granted &From : Steps)
        checkSpan(From, Now, Limits.Capacity);
      Steps.push_back(Now);
    }
  });
}

/// Mutant that charges hedges to the share of the retries.
struct hedges_from_retry_share : load_budget {
  bool takeHedge() { return takeRetry(); }
};

/// Mutant that does not charge retries.
struct uncharged_retries : load_budget {
  bool takeRetry() { return true; }
};

/// Mutant whose balances have practically no bound.
struct unbounded_savings : load_budget {
  unbounded_savings() : load_budget({.Capacity = 1e9}) {}
};

} // namespace

Test(load_budget, stays_within_its_shares) { cr_assert(holds<load_budget>()); }

Test(load_budget, detects_hedges_charged_to_the_retry_share) {
  cr_assert_not(holds<hedges_from_retry_share>());
}

Test(load_budget, detects_uncharged_retries) {
  cr_assert_not(holds<uncharged_retries>());
}

Test(load_budget, detects_unbounded_savings) {
  cr_assert_not(holds<unbounded_savings>());
}
