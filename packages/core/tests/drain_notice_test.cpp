/// \file
/// Notices about draining upstreams: when they are sent, and for how long they
/// exclude an upstream.

#include "manual_clock.h"
#include "masticproxy/Drain"
#include "masticproxy/Query"

#include <criterion/criterion.h>

#include <memory>

using namespace masticproxy;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr const char *First = "127.0.0.1:1";
constexpr const char *Second = "127.0.0.1:2";

std::vector<replica> twoReplicas() {
  return {{First, "dc1", 4, 8}, {Second, "dc1", 4, 8}};
}

upstream_table makeTable() {
  upstream_table Table(makePolicy(policy_name::Adaptive, 1));
  Table.setDataCentre("dc1");
  return Table;
}

attempt_facts factsOf(const char *Upstream, duration Age) {
  return {Upstream, "index", attempt_kind::First, Age};
}

/// Delivers notices of a VM that reports a drain every 500 ms, for \p Length.
/// \returns how long the upstream was excluded.
duration excludedFor(received_drain_notices &Received, manual_clock &Clock,
                     seconds Length) {
  duration Excluded{0};
  for (time_point End = Clock.now() + Length; Clock.now() < End;) {
    Received.onNotice({First, milliseconds(0)}, Clock.now());
    if (Received.excludes(First, Clock.now()))
      Excluded += milliseconds(500);
    Clock.advance(milliseconds(500));
  }
  return Excluded;
}

} // namespace

Test(drain_notifier, sends_at_once_and_repeats_for_the_exclusion_period) {
  manual_clock Clock;
  drain_notifier Notifier({});
  cr_assert_not(Notifier.next().has_value());
  for (int I = 0; I < 50; ++I)
    Notifier.refused(First, Clock.now());
  unsigned Notices = 0;
  time_point Start = Clock.now();
  while (std::optional<time_point> Next = Notifier.next()) {
    Clock.advance(*Next - Clock.now());
    for (const drain_notice &Notice : Notifier.takeDue(Clock.now())) {
      cr_assert(Notice.Age == Clock.now() - Start);
      ++Notices;
    }
  }
  cr_assert(Notices == 20, "%u notices", Notices);
}

Test(received_drain_notices,
     a_duplicate_or_old_notice_does_not_extend_the_exclusion) {
  manual_clock Clock;
  received_drain_notices Received({});
  Received.onNotice({First, seconds(0)}, Clock.now());
  time_point Until = Received.excludedUntil(First);
  cr_assert(Until == Clock.now() + seconds(12));
  Clock.advance(seconds(4));
  Received.onNotice({First, seconds(4)}, Clock.now());
  Received.onNotice({First, seconds(6)}, Clock.now());
  Received.onNotice({First, seconds(10)}, Clock.now());
  cr_assert(Received.excludedUntil(First) == Until);
  Clock.advance(seconds(8));
  cr_assert_not(Received.excludes(First, Clock.now()));
}

Test(received_drain_notices, an_answer_to_a_later_attempt_ends_the_exclusion) {
  manual_clock Clock;
  received_drain_notices Received({});
  Received.onNotice({First, seconds(1)}, Clock.now());
  Received.answered(First, Clock.now() - seconds(2));
  cr_assert(Received.excludes(First, Clock.now()));
  Received.answered(First, Clock.now());
  cr_assert_not(Received.excludes(First, Clock.now()));
  Clock.advance(seconds(1));
  Received.onNotice({First, seconds(2)}, Clock.now());
  cr_assert_not(Received.excludes(First, Clock.now()));
  Received.onNotice({First, milliseconds(500)}, Clock.now());
  cr_assert(Received.excludes(First, Clock.now()));
}

Test(received_drain_notices,
     one_faulty_vm_cannot_exclude_an_upstream_for_ever) {
  manual_clock Clock;
  received_drain_notices Received({});
  duration Excluded = excludedFor(Received, Clock, seconds(360));
  cr_assert(Excluded == seconds(60));
  cr_assert(excludedFor(Received, Clock, seconds(60)) > seconds(0));
}

Test(received_drain_notices, notices_count_again_once_this_vm_was_refused_too) {
  manual_clock Clock;
  received_drain_notices Received({});
  excludedFor(Received, Clock, seconds(70));
  cr_assert_not(Received.excludes(First, Clock.now()));
  Received.refused(First);
  Received.onNotice({First, seconds(0)}, Clock.now());
  cr_assert(Received.excludes(First, Clock.now()));
}

Test(upstream_table, where_all_replicas_drain_each_gets_one_attempt_at_a_time) {
  manual_clock Clock;
  upstream_table Table = makeTable();
  Table.onNotice({First, seconds(0)}, Clock.now());
  const replica *Chosen = Table.choose(twoReplicas(), {}, Clock.now());
  std::vector<replica> Replicas = twoReplicas();
  Chosen = Table.choose(Replicas, {}, Clock.now());
  cr_assert(Chosen && Chosen->Address == Second);
  Table.onNotice({Second, seconds(0)}, Clock.now());
  cr_assert_not(Table.anyAvailableBy(Replicas, Clock.now()));
  for (int I = 0; I < 2; ++I) {
    Chosen = Table.choose(Replicas, {}, Clock.now());
    cr_assert(Chosen);
    Table.attemptStarted(Chosen->Address, Clock.now());
  }
  cr_assert_not(Table.choose(Replicas, {}, Clock.now()));
  // The first upstream answers again; the second one refuses.
  Clock.advance(milliseconds(5));
  Table.attemptEnded(First);
  Table.attemptEnded(Second);
  Table.failed(factsOf(Second, milliseconds(5)), attempt_failure::Draining,
               Clock.now());
  Clock.advance(milliseconds(5));
  Table.answered(factsOf(First, milliseconds(5)), Clock.now());
  Chosen = Table.choose(Replicas, {}, Clock.now());
  cr_assert(Chosen && Chosen->Address == First);
  Table.attemptStarted(First, Clock.now());
  Chosen = Table.choose(Replicas, {}, Clock.now());
  cr_assert(Chosen && Chosen->Address == First);
}

Test(query_engine, sends_drain_notices_while_no_query_is_running) {
  manual_clock Clock;
  query_engine Engine(Clock, {.DataCentre = "dc1"});
  auto Snapshot = std::make_shared<index_snapshot>();
  Snapshot->Id = "s1";
  Snapshot->Shards = {{"0", twoReplicas()}};
  auto Catalogue = std::make_shared<query_catalogue>();
  Catalogue->setIndex({"index", Snapshot});
  profile Profile;
  Profile.Name = "lookup";
  Profile.MayRepeat = true;
  Profile.Wait = seconds(1);
  Catalogue->setProfile(Profile);
  Engine.handle(catalogue_changed{Catalogue});
  std::vector<engine_command> Commands =
      Engine.handle(query_arrived{1, "r1", "lookup", "index", "{}"});
  auto Sent = std::get<send_attempt>(Commands.front());
  Commands =
      Engine.handle(attempt_failed{Sent.Attempt, attempt_failure::Draining});
  auto Notice = std::get<drain_notice>(Commands.back());
  cr_assert(Notice == (drain_notice{Sent.Upstream, milliseconds(0)}));
  Clock.advance(seconds(2));
  Engine.handle(timer_fired{});
  cr_assert(Engine.running() == 0);
  cr_assert(Engine.nextWakeup().has_value());
  Clock.advance(*Engine.nextWakeup() - Clock.now());
  Commands = Engine.handle(timer_fired{});
  cr_assert(Commands.size() == 1);
  cr_assert(std::get<drain_notice>(Commands.front()).Age > seconds(2));
}
