/// \file
/// Limits on the calls to the platform.

#include "manual_clock.h"
#include "masticproxy/Base"
#include "masticproxy/Cluster"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace masticproxy;
using std::chrono::milliseconds;
using std::chrono::seconds;

Test(token_bucket, never_gives_more_than_burst_and_rate) {
  cr_assert(rc::check([] {
    manual_clock Clock;
    auto Burst = *rc::gen::inRange(1U, 20U);
    token_bucket Bucket(Clock, milliseconds(250), Burst);
    unsigned Taken = 0;
    duration Passed{};
    for (int Left = *rc::gen::inRange(1, 100); Left > 0; --Left) {
      milliseconds Span(*rc::gen::inRange(0, 700));
      Clock.advance(Span);
      Passed += Span;
      bool Expected = Bucket.untilNext() == duration::zero();
      bool Took = Bucket.take();
      RC_ASSERT(Took == Expected);
      Taken += Took ? 1 : 0;
      RC_ASSERT(Taken <= Burst + Passed / milliseconds(250));
    }
  }));
}

Test(retry_backoff, doubles_within_its_bounds_and_spreads) {
  cr_assert(rc::check([] {
    retry_backoff Backoff(milliseconds(50), seconds(5));
    duration Longest = milliseconds(50);
    for (int Failures = 0; Failures < 40; ++Failures) {
      auto Random = *rc::gen::inRange(0, 1000) / 1000.0;
      duration Pause = Backoff.onFailure(Random);
      RC_ASSERT(Pause >= Longest / 2);
      RC_ASSERT(Pause <= Longest);
      Longest = std::min<duration>(2 * Longest, seconds(5));
    }
    Backoff.onSuccess();
    RC_ASSERT(Backoff.onFailure(0.999) <= milliseconds(50));
  }));
}

Test(retry_backoff, brings_many_callers_back_apart) {
  // 480 callers that failed together for long come back over 2.5 seconds.
  std::map<std::int64_t, unsigned> BySlot;
  for (unsigned I = 0; I < 480; ++I) {
    retry_backoff Backoff(milliseconds(50), seconds(5));
    duration Pause{};
    for (unsigned Failures = 0; Failures < 10; ++Failures)
      Pause = Backoff.onFailure(((I * 7919) % 480) / 480.0);
    ++BySlot[Pause / milliseconds(100)];
  }
  for (const auto &[Slot, Count] : BySlot)
    cr_assert(Count <= 25);
}

Test(platform_follower, completes_nothing_while_the_platform_is_behind) {
  platform_follower Follower;
  Follower.followFrom(10);
  cr_assert(Follower.watchAfter() == 10);
  configuration_table Table;
  Table.completeUpTo(0, 10);
  Table.apply(Follower.onAnswer(10, {0, 4, {}}));
  cr_assert(Follower.behind());
  cr_assert(Follower.watchAfter() == 0);
  configuration_record New{"profile", "new", 5, false, ""};
  Table.apply(Follower.onAnswer(0, {0, 5, {New}}));
  cr_assert(Table.revision() == 10);
  cr_assert(Table.records().contains({"profile", "new"}));
  Table.apply(Follower.onAnswer(0, {0, 12, {}}));
  cr_assert(not Follower.behind());
  cr_assert(Table.revision() == 12);
  cr_assert(Follower.watchAfter() == 12);
}

Test(configuration_table, parts_of_a_push_complete_only_in_order) {
  cr_assert(rc::check([] {
    configuration_table Sender;
    auto Count = *rc::gen::inRange<std::uint64_t>(1, 20);
    for (std::uint64_t Version = 1; Version <= Count; ++Version)
      Sender.apply({"index", std::to_string(*rc::gen::inRange(0, 9)), Version,
                    false, std::string(100, 'x')});
    Sender.completeUpTo(0, Count);
    configuration_table Receiver;
    for (const configuration_push &Part : Sender.makePushes(0, 250))
      if (*rc::gen::arbitrary<bool>())
        Receiver.apply(Part);
    // Whatever was lost lies above the revision that is claimed.
    for (const auto &[Key, Record] : Sender.records())
      if (Record.Version <= Receiver.revision())
        RC_ASSERT(Receiver.records().contains(Key));
    for (const configuration_push &Part :
         Sender.makePushes(Receiver.revision(), 250))
      Receiver.apply(Part);
    RC_ASSERT(Receiver.digest() == Sender.digest());
  }));
}
