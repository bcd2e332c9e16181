/// \file
/// What must hold through the relay, over generated schedules of several
/// engines: one outcome for each request, one snapshot in each answer, true
/// coverage, a non-idempotent shard run at most once, a true "not run".

#include "relay_world.h"

#include <criterion/criterion.h>

using namespace masticproxy;

namespace {

/// The rarest faults show in about one world of five hundred.
constexpr int WorldsPerCase = 60;

bool holds(relay_breakage Breakage) {
  return rc::check([Breakage] {
    for (int World = 0; World < WorldsPerCase; ++World)
      relay_world(Breakage).run();
  });
}

} // namespace

Test(relay_property, promises_hold_through_loss_doubling_and_reorder) {
  cr_assert(holds({}));
}

Test(relay_property, catches_a_receiver_that_forgets_copies) {
  cr_assert_not(holds({.ForgetsCopies = true}));
}

Test(relay_property, catches_a_receiver_that_refuses_copies) {
  cr_assert_not(holds({.RefusesCopies = true}));
}

Test(relay_property, catches_a_loss_that_counts_as_not_sent) {
  cr_assert_not(holds({.LossIsNotSent = true}));
}

Test(relay_property, catches_results_that_are_not_checked) {
  cr_assert_not(holds({.TrustsResults = true}));
}

Test(relay_property, catches_a_request_without_an_outcome) {
  cr_assert_not(holds({.ForgetsDeadlines = true}));
}
