/// \file
/// When watches are checked, so that a lost answer is noticed in time.

#include "masticproxy/Discovery"
#include "masticproxy/src/Net/platform_freshness.h"
#include "masticproxy/src/Net/platform_heartbeat.h"
#include "masticproxy/src/Net/watch_check.h"
#include "settable_clock.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace masticproxy;
using std::chrono::milliseconds;

namespace {

const check_plan Plan{milliseconds(2500)};

/// How long before it is needed a copy is asked.
constexpr milliseconds CopyLead{100};

constexpr read_freshness Newest = read_freshness::Newest;
constexpr read_freshness Copy = read_freshness::MayLag;

/// \returns when the next check is due that asks a copy, after all was known as
/// of \p AsOf.
time_point dueAfter(time_point AsOf) {
  return AsOf + Plan.LongestAge - CopyLead;
}

} // namespace

Test(watch_check, is_due_once_nothing_was_heard_for_the_longest_age) {
  settable_clock Clock;
  platform_freshness Platform;
  watch_check Check(Clock, Platform, Plan);
  cr_assert(Check.due() == dueAfter(Clock.Time));
  time_point SentAt = Clock.Time + milliseconds(2500);
  Check.onAnswer(7, Newest, SentAt);
  cr_assert(Check.due() == dueAfter(SentAt));
}

// The heartbeat is enough for all kinds where nothing else has changed.
Test(watch_check, is_put_off_where_nothing_has_changed) {
  settable_clock Clock;
  platform_freshness Platform;
  watch_check Check(Clock, Platform, Plan);
  Check.onAnswer(7, Newest, Clock.Time);
  time_point AsOf = Clock.Time + milliseconds(2000);
  Platform.Revision.record(7, 7, AsOf);
  cr_assert(Check.due() == dueAfter(AsOf));
}

Test(watch_check, is_not_put_off_where_the_platform_has_changed) {
  settable_clock Clock;
  platform_freshness Platform;
  watch_check Check(Clock, Platform, Plan);
  time_point Start = Clock.Time;
  Check.onAnswer(7, Newest, Start);
  Platform.Revision.record(8, 8, Start + milliseconds(2000));
  cr_assert(Check.due() == dueAfter(Start));
}

// Guards against: an answer of a copy whose age is not shown counts as news of
// the present, so that a change stays unknown for as long as copies are old.
Test(watch_check, asks_the_platform_where_a_copy_shows_no_age) {
  settable_clock Clock;
  platform_freshness Platform;
  watch_check Check(Clock, Platform, Plan);
  time_point Start = Clock.Time;
  Check.onAnswer(7, Newest, Start);
  Clock.Time = Check.due();
  cr_assert(Check.freshness() == Copy);
  Check.onAnswer(7, Copy, Clock.Time);
  cr_assert(Check.freshness() == Newest);
  cr_assert(Check.due() == Start + Plan.LongestAge);
  Clock.Time = Check.due();
  Check.onAnswer(7, Newest, Clock.Time);
  cr_assert(Check.freshness() == Copy);
  cr_assert(Check.due() == dueAfter(Clock.Time));
}

Test(watch_check, takes_a_copy_for_as_old_as_it_is_shown_to_be) {
  settable_clock Clock;
  platform_freshness Platform;
  watch_check Check(Clock, Platform, Plan);
  time_point AsOf = Clock.Time + milliseconds(1000);
  Clock.Time += milliseconds(2000);
  Platform.Copies.onReading(
      {platform_heartbeat{}, {9, 0}, read_freshness::Newest, AsOf});
  Check.onAnswer(9, Copy, Clock.Time);
  cr_assert(Check.due() == dueAfter(AsOf));
  // This one is older than that read.
  Check.onAnswer(8, Copy, Clock.Time + milliseconds(500));
  cr_assert(Check.currentAsOf() == AsOf);
}

// Whatever the bounds, a check that is sent when it is due shows a change soon
// enough for it to be in force within the bound that holds for its source.
Test(watch_check, leaves_time_to_bring_a_change_into_force) {
  cr_assert(rc::check([] {
    auto Within = milliseconds(*rc::gen::inRange(2500, 60000));
    auto CheckedWithin = milliseconds(*rc::gen::inRange(2500, 60000));
    duration Longest = checksFor(Within, CheckedWithin).LongestAge;
    RC_ASSERT(Longest + milliseconds(1000) <= duration(CheckedWithin));
    if (watchFreshness(Within) == Copy)
      RC_ASSERT(Longest + milliseconds(1000) <= duration(Within));
  }));
}

// After the platform came back from a copy, a lower revision of the new era
// says nothing of whether a watch of the earlier one knows all changes.
Test(watch_check, is_not_put_off_by_a_lower_revision_of_a_new_era) {
  settable_clock Clock;
  platform_freshness Platform;
  watch_check Check(Clock, Platform, Plan);
  Check.onAnswer({900, 1}, Newest, Clock.Time);
  time_point Due = Check.due();
  Platform.Revision.record({300, 2}, {300, 2}, Clock.Time + milliseconds(100));
  cr_assert(Check.due() == Due);
}
