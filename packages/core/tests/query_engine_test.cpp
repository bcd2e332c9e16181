/// \file
/// Tests of the query engine with single events.

#include "manual_clock.h"
#include "masticproxy/Query"

#include <criterion/criterion.h>

using namespace masticproxy;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds Wait{100};

/// Request id with the time at which manual_clock starts, in milliseconds.
constexpr const char *RequestId = "0000003600000-r";

constexpr std::uint64_t ClaimVersion = 7;

/// An engine with one index of two shards that have two replicas each.
struct engine_fixture {
  explicit engine_fixture(bool MayRepeat, double Coverage = 1.0) {
    setCatalogue("s1", MayRepeat, Coverage);
  }

  void setCatalogue(const std::string &Snapshot, bool MayRepeat,
                    double Coverage) {
    auto Map = std::make_shared<index_snapshot>();
    Map->Id = Snapshot;
    Map->Shards = {{"0", {{"a", "dc1", 1, 4}, {"b", "dc1", 1, 4}}},
                   {"1", {{"c", "dc1", 1, 4}, {"d", "dc1", 1, 4}}}};
    auto Catalogue = std::make_shared<query_catalogue>();
    Catalogue->setProfile({"p", Wait, Coverage, MayRepeat});
    Catalogue->setIndex({"i", Map});
    Engine.handle(catalogue_changed{Catalogue});
  }

  std::vector<engine_command> arrive(query_ticket Ticket,
                                     const std::string &Profile = "p") {
    auto Commands =
        Engine.handle(query_arrived{Ticket, RequestId, Profile, "i", "{}"});
    for (const engine_command &Command : Commands)
      if (auto *Wanted = std::get_if<claim_wanted>(&Command))
        return Engine.handle(claim_decision{Wanted->Ticket, Wanted->RequestId,
                                            claim_granted{ClaimVersion}});
    return Commands;
  }

  std::vector<engine_command> answer(const send_attempt &Attempt) {
    return Engine.handle(attempt_answered{
        Attempt.Attempt,
        {Attempt.RequestId, Attempt.Snapshot, Attempt.Shard, "body"}});
  }

  manual_clock Clock;
  query_engine Engine{Clock, {16, "dc1"}};
};

std::vector<send_attempt> attemptsIn(const std::vector<engine_command> &All) {
  std::vector<send_attempt> Found;
  for (const engine_command &Command : All)
    if (auto *Attempt = std::get_if<send_attempt>(&Command))
      Found.push_back(*Attempt);
  return Found;
}

template <typename Outcome>
bool delivers(const std::vector<engine_command> &All) {
  for (const engine_command &Command : All)
    if (auto *Delivered = std::get_if<deliver_outcome>(&Command))
      return std::holds_alternative<Outcome>(Delivered->Outcome);
  return false;
}

} // namespace

Test(query_engine, answers_once_every_shard_has_a_result) {
  engine_fixture F(/*MayRepeat=*/true);
  auto Attempts = attemptsIn(F.arrive(1));
  cr_assert(Attempts.size() == 2);
  cr_assert_not(delivers<answered>(F.answer(Attempts[0])));
  cr_assert(delivers<answered>(F.answer(Attempts[1])));
  cr_assert(F.Engine.running() == 0);
}

Test(query_engine, refuses_requests_before_any_configuration) {
  manual_clock Clock;
  query_engine Engine{Clock, {16, "dc1"}};
  auto Commands = Engine.handle(query_arrived{1, "r", "p", "i", "{}"});
  cr_assert(delivers<not_run>(Commands));
  cr_assert(attemptsIn(Commands).empty());
}

Test(query_engine, reports_an_unknown_profile_without_attempts) {
  engine_fixture F(/*MayRepeat=*/true);
  auto Commands = F.arrive(1, "none");
  cr_assert(delivers<unknown_profile>(Commands));
  cr_assert(attemptsIn(Commands).empty());
}

Test(query_engine, retries_an_idempotent_request_on_another_replica) {
  engine_fixture F(/*MayRepeat=*/true);
  auto Attempts = attemptsIn(F.arrive(1));
  auto Retry = attemptsIn(F.Engine.handle(
      attempt_failed{Attempts[0].Attempt, attempt_failure::Unknown}));
  cr_assert(Retry.size() == 1);
  cr_assert(Retry[0].Shard == Attempts[0].Shard);
  cr_assert(Retry[0].Upstream != Attempts[0].Upstream);
}

Test(query_engine, does_not_resend_a_non_idempotent_request_that_may_have_run) {
  engine_fixture F(/*MayRepeat=*/false);
  auto Attempts = attemptsIn(F.arrive(1));
  auto After = F.Engine.handle(
      attempt_failed{Attempts[0].Attempt, attempt_failure::Unknown});
  cr_assert(attemptsIn(After).empty());
  cr_assert(delivers<outcome_unknown>(After));
}

Test(query_engine, resends_a_non_idempotent_request_that_was_refused) {
  engine_fixture F(/*MayRepeat=*/false);
  auto Attempts = attemptsIn(F.arrive(1));
  auto After = F.Engine.handle(
      attempt_failed{Attempts[0].Attempt, attempt_failure::Refused});
  cr_assert(attemptsIn(After).size() == 1);
}

Test(query_engine, delivers_not_run_when_every_attempt_was_refused) {
  engine_fixture F(/*MayRepeat=*/false);
  auto Attempts = attemptsIn(F.arrive(1));
  for (const send_attempt &Attempt : Attempts) {
    auto Next = attemptsIn(F.Engine.handle(
        attempt_failed{Attempt.Attempt, attempt_failure::Refused}));
    F.Engine.handle(attempt_failed{Next[0].Attempt, attempt_failure::Refused});
  }
  F.Clock.advance(Wait);
  cr_assert(delivers<not_run>(F.Engine.handle(timer_fired{})));
}

Test(query_engine, states_actual_coverage_at_the_deadline) {
  engine_fixture F(/*MayRepeat=*/true, /*Coverage=*/0.5);
  auto Attempts = attemptsIn(F.arrive(1));
  F.answer(Attempts[0]);
  F.Clock.advance(Wait);
  auto Commands = F.Engine.handle(timer_fired{});
  auto &Outcome =
      std::get<answered>(std::get<deliver_outcome>(Commands[0]).Outcome);
  cr_assert(Outcome.Coverage == (coverage{1, 2}));
  cr_assert(Outcome.Results.size() == 1);
}

Test(query_engine, restarts_on_the_new_snapshot) {
  engine_fixture F(/*MayRepeat=*/true);
  auto Attempts = attemptsIn(F.arrive(1));
  F.answer(Attempts[0]);
  F.setCatalogue("s2", /*MayRepeat=*/true, 1.0);
  auto Again = attemptsIn(F.Engine.handle(
      attempt_failed{Attempts[1].Attempt, attempt_failure::SnapshotGone}));
  cr_assert(Again.size() == 2);
  cr_assert(Again[0].Snapshot == "s2");
  F.answer(Again[0]);
  cr_assert(delivers<answered>(F.answer(Again[1])));
}

Test(query_engine, refuses_requests_while_leaving) {
  engine_fixture F(/*MayRepeat=*/true);
  F.Engine.handle(leave_started{});
  cr_assert(delivers<not_run>(F.arrive(1)));
}

// Guards against: at the end of a planned stop, requests that are still running
// lose their connection without a response.
Test(query_engine, answers_what_is_running_when_it_leaves) {
  engine_fixture F(/*MayRepeat=*/false);
  F.arrive(1);
  cr_assert(delivers<outcome_unknown>(F.Engine.handle(leave_started{})));
  cr_assert(F.Engine.running() == 0);
}

Test(query_engine, keeps_requests_no_longer_than_until_it_leaves) {
  engine_fixture F(/*MayRepeat=*/false);
  F.Engine.handle(leave_planned{F.Clock.now() + Wait / 4});
  F.arrive(1);
  F.Clock.advance(Wait / 4);
  cr_assert(delivers<outcome_unknown>(F.Engine.handle(timer_fired{})));
  auto Late = F.arrive(2);
  cr_assert(attemptsIn(Late).empty() ||
            attemptsIn(Late)[0].Deadline <= F.Clock.now());
}

Test(query_engine, restarts_when_the_new_snapshot_arrives_after_snapshot_gone) {
  engine_fixture F(/*MayRepeat=*/true);
  auto Attempts = attemptsIn(F.arrive(1));
  F.Engine.handle(
      attempt_failed{Attempts[0].Attempt, attempt_failure::SnapshotGone});
  F.setCatalogue("s2", /*MayRepeat=*/true, 1.0);
  F.Clock.advance(Wait / 2);
  auto Later = attemptsIn(F.arrive(2));
  cr_assert(Later[0].Snapshot == "s2");
  cr_assert(F.Engine.running() == 2);
  auto Stale = F.answer(Attempts[1]);
  cr_assert_not(delivers<answered>(Stale));
  // The first request was restarted on s2 by the new catalogue, so its attempts
  // have the two ids before those of the second request.
  attempt_id First = Later[0].Attempt - 2;
  for (attempt_id Attempt : {First, First + 1}) {
    std::string Shard = Attempt == First ? "0" : "1";
    auto Commands = F.Engine.handle(
        attempt_answered{Attempt, {RequestId, "s2", Shard, "body"}});
    cr_assert(delivers<answered>(Commands) == (Attempt != First));
  }
}

Test(query_engine, waits_while_open_shards_can_still_reach_the_coverage) {
  engine_fixture F(/*MayRepeat=*/false, /*Coverage=*/0.5);
  auto Attempts = attemptsIn(F.arrive(1));
  auto After = F.Engine.handle(
      attempt_failed{Attempts[0].Attempt, attempt_failure::Unknown});
  cr_assert_not(delivers<outcome_unknown>(After));
  auto Commands = F.answer(Attempts[1]);
  cr_assert(delivers<answered>(Commands));
}
