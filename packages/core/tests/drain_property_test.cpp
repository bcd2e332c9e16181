/// \file
/// An upstream that leaves, over several VMs and generated schedules.

#include "drain_world.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace masticproxy;

namespace {

constexpr unsigned Worlds = 40;

bool holds(drain_defect Defect) {
  return rc::check([Defect] {
    auto Seed = *rc::gen::noShrink(
        rc::gen::resize(100, rc::gen::inRange(0U, 1U << 30U)));
    drain_world World(Defect, Seed);
    World.run();
    RC_ASSERT(World.TooLate == 0U);
    RC_ASSERT(World.StillOut == 0U);
    RC_ASSERT(World.WithoutReplica == 0U);
  });
}

/// \returns the refusals in a number of worlds.
unsigned refusals(drain_defect Defect) {
  unsigned Sum = 0;
  for (unsigned Seed = 0; Seed < Worlds; ++Seed) {
    drain_world World(Defect, Seed);
    World.run();
    Sum += World.Refusals;
  }
  return Sum;
}

} // namespace

Test(drain, is_honoured_by_all_vms_within_three_seconds_and_ends) {
  cr_assert(holds(drain_defect::None));
}

Test(drain, the_property_sees_each_vm_by_itself) {
  cr_assert_not(holds(drain_defect::NoNotices));
}

Test(drain, the_property_sees_notices_without_age) {
  cr_assert_not(holds(drain_defect::NoAge));
}

Test(drain, the_property_sees_hearsay_told_on) {
  cr_assert_not(holds(drain_defect::Hearsay));
}

Test(drain, the_property_sees_notices_sent_once) {
  cr_assert_not(holds(drain_defect::NoRepetition));
}

Test(drain, fewer_refusals_than_with_each_vm_by_itself) {
  unsigned Told = refusals(drain_defect::None);
  unsigned Alone = refusals(drain_defect::NoNotices);
  cr_log_info("%u refusals with notices, %u without", Told, Alone);
  cr_assert(Told > 0);
  cr_assert(Told < Alone, "%u with notices, %u without", Told, Alone);
}
