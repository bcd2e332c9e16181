/// \file
/// Tests that further attempts stay within their bounds in every window of
/// time.

#include "draws.h"
#include "manual_clock.h"
#include "masticproxy/Routing"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

using namespace masticproxy;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr window_budget_limits Limits{0.19, 2.4, 0.8, seconds(10)};

/// Times at which attempts were sent; the reference count keeps all of them.
using times = std::vector<time_point>;

double countIn(const times &Sent, time_point From, time_point To) {
  return static_cast<double>(
      std::count_if(Sent.begin(), Sent.end(),
                    [&](time_point At) { return From < At && At <= To; }));
}

/// \returns whether the attempts granted in the window that ends at \p Now are
/// within the bounds.
bool withinBounds(const times &First, const times &Hedges, const times &Retries,
                  time_point Now) {
  time_point From = Now - Limits.Window;
  double Allowed = Limits.Base + Limits.Share * countIn(First, From, Now);
  double Hedged = countIn(Hedges, From, Now);
  double All = Hedged + countIn(Retries, From, Now);
  return Hedged <= Limits.HedgePart * Allowed && All <= Allowed;
}

/// \returns whether the budget keeps its bounds in generated schedules, by the
/// reference count.
template <typename Budget> bool holds() {
  return rc::check([] {
    manual_clock Clock;
    Budget Tested(Limits);
    times First;
    times Hedges;
    times Retries;
    for (int Remaining = draw(1, 400); Remaining > 0; --Remaining) {
      Clock.advance(milliseconds(draw(0, 300)));
      int Kind = draw(0, 4);
      if (Kind < 2) {
        Tested.firstAttempt(Clock.now());
        First.push_back(Clock.now());
      } else if (Kind == 2 && Tested.takeHedge(Clock.now())) {
        Hedges.push_back(Clock.now());
      } else if (Kind == 3 && Tested.takeRetry(Clock.now())) {
        Retries.push_back(Clock.now());
      } else {
        continue;
      }
      bool Granted = Kind >= 2;
      RC_ASSERT(!Granted || withinBounds(First, Hedges, Retries, Clock.now()));
    }
  });
}

/// Mutant that charges hedges to the whole budget.
struct hedges_from_whole_budget : window_budget {
  using window_budget::window_budget;
  bool takeHedge(time_point Now) { return takeRetry(Now); }
};

/// Mutant whose window is too short.
struct short_window : window_budget {
  explicit short_window(window_budget_limits Wanted)
      : window_budget(
            {Wanted.Share, Wanted.Base, Wanted.HedgePart, Wanted.Window / 2}) {}
};

} // namespace

Test(window_budget, stays_within_its_bounds) {
  cr_assert(holds<window_budget>());
}

Test(window_budget, detects_hedges_charged_to_the_whole_budget) {
  cr_assert_not(holds<hedges_from_whole_budget>());
}

Test(window_budget, detects_a_short_window) {
  cr_assert_not(holds<short_window>());
}

// The base is available again in each window. A VM that gets one request a
// second earns only one further attempt per five seconds by its share.
Test(window_budget, renews_its_base_in_each_window) {
  manual_clock Clock;
  window_budget Budget(Limits);
  int Hedges = 0;
  for (int Request = 0; Request < 100; ++Request) {
    Budget.firstAttempt(Clock.now());
    Hedges += Budget.takeHedge(Clock.now()) ? 1 : 0;
    Clock.advance(seconds(1));
  }
  // 0.8 * (2.4 + 0.19 * 10), rounded down to whole attempts, in each span of a
  // window and one of its ten parts.
  cr_assert(Hedges >= 27, "%d", Hedges);
}

Test(window_budget, reserves_for_retries_what_hedges_may_not_use) {
  manual_clock Clock;
  window_budget Budget({0.0, 5.0, 0.6, seconds(10)});
  int Hedges = 0;
  while (Budget.takeHedge(Clock.now()))
    ++Hedges;
  cr_assert(Hedges == 3);
  cr_assert(Budget.takeRetry(Clock.now()) && Budget.takeRetry(Clock.now()));
  cr_assert(not Budget.hasRetry(Clock.now()));
  Clock.advance(seconds(11));
  cr_assert(Budget.hasRetry(Clock.now()));
}
