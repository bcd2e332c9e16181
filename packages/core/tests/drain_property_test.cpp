/// \file
/// Generated schedules over several VMs, with one upstream that drains and
/// returns. The injected faults check that the property, which
/// drainPropertyHolds() states, detects wrong implementations.

#include "drain_simulation.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace masticproxy;

namespace {

constexpr unsigned Simulations = 40;

/// \returns whether the property holds: no VM sends the draining upstream work
/// from three seconds after a refusal (HonouredWithin in drain_simulation.cpp)
/// until the exclusion ends, unless the upstream has answered a later attempt;
/// no VM excludes it for too long; and a replica can always be chosen.
bool drainPropertyHolds(injected_drain_fault Fault) {
  return rc::check([Fault] {
    auto Seed = *rc::gen::noShrink(
        rc::gen::resize(100, rc::gen::inRange(0U, 1U << 30U)));
    drain_simulation Simulation(Fault, Seed);
    Simulation.run();
    RC_ASSERT(Simulation.LateAttempts == 0U);
    RC_ASSERT(Simulation.StillExcluded == 0U);
    RC_ASSERT(Simulation.WithoutReplica == 0U);
  });
}

/// \returns the sum of the refusals in all simulations.
unsigned refusals(injected_drain_fault Fault) {
  unsigned Sum = 0;
  for (unsigned Seed = 0; Seed < Simulations; ++Seed) {
    drain_simulation Simulation(Fault, Seed);
    Simulation.run();
    Sum += Simulation.Refusals;
  }
  return Sum;
}

} // namespace

Test(drain, is_honoured_by_all_vms_within_three_seconds_and_ends) {
  cr_assert(drainPropertyHolds(injected_drain_fault::None));
}

Test(drain, detects_missing_notices) {
  cr_assert_not(drainPropertyHolds(injected_drain_fault::NoNotices));
}

Test(drain, detects_notices_without_age) {
  cr_assert_not(drainPropertyHolds(injected_drain_fault::NoAge));
}

Test(drain, detects_forwarded_notices) {
  cr_assert_not(drainPropertyHolds(injected_drain_fault::ForwardsNotices));
}

Test(drain, detects_notices_sent_only_once) {
  cr_assert_not(drainPropertyHolds(injected_drain_fault::NoRepetition));
}

Test(drain, fewer_refusals_with_notices_than_without) {
  unsigned WithNotices = refusals(injected_drain_fault::None);
  unsigned WithoutNotices = refusals(injected_drain_fault::NoNotices);
  cr_log_info("%u refusals with notices, %u without", WithNotices,
              WithoutNotices);
  cr_assert(WithNotices > 0);
  cr_assert(WithNotices < WithoutNotices, "%u with notices, %u without",
            WithNotices, WithoutNotices);
}
