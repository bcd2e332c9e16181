/// \file
/// Forwarded requests: routes, attempts, the time of an answer.

#include "forwarding_world.h"

#include <criterion/criterion.h>

using namespace masticproxy;
using std::chrono::milliseconds;

namespace {

template <typename Command>
int count(const std::vector<engine_command> &Commands) {
  int Found = 0;
  for (const engine_command &One : Commands)
    Found += std::holds_alternative<Command>(One) ? 1 : 0;
  return Found;
}

/// Teaches the engine the usual latency, so that it hedges.
void learnLatency(forwarding_world &World, const std::string &Route,
                  milliseconds Latency) {
  constexpr query_ticket FirstTicket = 1000;
  constexpr int Requests = 100;
  for (int I = 0; I < Requests; ++I) {
    auto Attempts = attemptsIn(World.arrive(FirstTicket + I, Route));
    World.Clock.advance(Latency);
    for (const send_attempt &Attempt : Attempts)
      World.answer(Attempt);
  }
}

} // namespace

Test(forwarded, names_profile_and_index_by_its_route) {
  forwarding_world World(4);
  auto Attempts = attemptsIn(World.arrive(1));
  cr_assert(Attempts.size() == 4);
  cr_assert(Attempts[0].Forwarded->Target == "/merged/1");
  cr_assert(Attempts[0].Instance == Attempts[0].Upstream);
  cr_assert(outcomeIn<unknown_route>(World.arrive(2, "nothing")) != nullptr);
}

Test(forwarded, answers_once_all_shards_have) {
  forwarding_world World(4);
  std::vector<engine_command> Last;
  for (const send_attempt &Attempt : attemptsIn(World.arrive(1)))
    Last = World.answer(Attempt);
  const auto *Answer = outcomeIn<answered>(Last);
  cr_assert(Answer && Answer->Results.size() == 4);
  cr_assert(Answer->Form == answer_form::TopK);
  cr_assert(Answer->Results[0].Signature.starts_with("signature of s0"));
}

// A straggler: the answer is worth less after the target than without it.
Test(forwarded, answers_without_a_straggler_at_the_target_latency) {
  forwarding_world World(4);
  auto Attempts = attemptsIn(World.arrive(1));
  for (std::size_t I = 1; I < Attempts.size(); ++I)
    World.answer(Attempts[I]);
  cr_assert(count<deliver_outcome>(World.pass(milliseconds(85))) == 0);
  auto Commands = World.pass(milliseconds(10));
  const auto *Answer = outcomeIn<answered>(Commands);
  cr_assert(Answer && Answer->Results.size() == 3);
  // The straggler's connection stays usable.
  cr_assert(count<cancel_attempt>(Commands) == 0);
}

Test(forwarded, the_time_of_an_answer_catches_a_profile_without_target) {
  forwarding_world World(4);
  for (profile &Profile : World.Configuration.Profiles)
    Profile.TargetLatency = milliseconds(0);
  ++World.Configuration.Version;
  World.publish();
  auto Attempts = attemptsIn(World.arrive(1));
  for (std::size_t I = 1; I < Attempts.size(); ++I)
    World.answer(Attempts[I]);
  auto Commands = World.pass(forwarding_world::Target * 2);
  cr_assert(outcomeIn<answered>(Commands) == nullptr);
}

Test(forwarded, answers_late_as_soon_as_the_coverage_suffices) {
  forwarding_world World(4);
  auto Attempts = attemptsIn(World.arrive(1));
  World.answer(Attempts[0]);
  World.answer(Attempts[1]);
  cr_assert(count<deliver_outcome>(World.pass(milliseconds(200))) == 0);
  const auto Commands = World.answer(Attempts[2]);
  const auto *Answer = outcomeIn<answered>(Commands);
  cr_assert(Answer && Answer->Results.size() == 3);
}

Test(forwarded, never_takes_longer_than_the_caller_waits) {
  forwarding_world World(1);
  query_arrived Query;
  Query.Ticket = 1;
  Query.RequestId = "r";
  Query.CallerWait = milliseconds(50);
  auto Forwarded = std::make_shared<forwarded_request>();
  Forwarded->Host = "host";
  Forwarded->Target = "/merged/1";
  Query.Forwarded = Forwarded;
  auto Attempts = attemptsIn(World.Engine.handle(std::move(Query)));
  cr_assert(Attempts[0].Deadline == World.Clock.now() + milliseconds(50));
  cr_assert(outcomeIn<too_late>(World.pass(milliseconds(51))) != nullptr);
}

// All upstreams of a shard are gone.
Test(forwarded, does_not_wait_for_a_shard_that_nobody_serves) {
  forwarding_world World(4);
  std::erase_if(World.Upstreams,
                [](const upstream_entry &E) { return E.Shard == "s1"; });
  World.publish();
  std::vector<engine_command> Last;
  for (const send_attempt &Attempt : attemptsIn(World.arrive(1)))
    Last = World.answer(Attempt);
  const auto *Answer = outcomeIn<answered>(Last);
  cr_assert(Answer && (Answer->Coverage == coverage{3, 4}));
}

Test(forwarded, refuses_at_once_what_too_few_shards_can_answer) {
  forwarding_world World(4);
  std::erase_if(World.Upstreams,
                [](const upstream_entry &E) { return E.Shard <= "s1"; });
  World.publish();
  auto Commands = World.arrive(1);
  cr_assert(outcomeIn<not_run>(Commands) != nullptr);
  cr_assert(attemptsIn(Commands).empty());
}

Test(forwarded, reaches_no_more_upstreams_than_its_attempts) {
  forwarding_world World(1);
  learnLatency(World, "merged", milliseconds(5));
  auto First = attemptsIn(World.arrive(1));
  auto Hedges = attemptsIn(World.pass(milliseconds(50)));
  cr_assert(First.size() == 1 && Hedges.size() == 1);
  cr_assert(Hedges[0].Upstream != First[0].Upstream);
  World.fail(First[0], attempt_failure::Unknown);
  auto Last = World.fail(Hedges[0], attempt_failure::Failed);
  cr_assert(attemptsIn(Last).empty());
  cr_assert(outcomeIn<too_late>(Last) != nullptr);
}

Test(forwarded, counts_no_attempt_that_an_upstream_refused) {
  forwarding_world World(1);
  auto First = attemptsIn(World.arrive(1));
  auto Second = attemptsIn(World.fail(First[0], attempt_failure::Refused));
  cr_assert(Second.size() == 1);
  auto Third = attemptsIn(World.fail(Second[0], attempt_failure::Refused));
  cr_assert(Third.size() + attemptsIn(World.pass(milliseconds(50))).size() > 0);
}

Test(forwarded, passes_a_failure_on_once_nothing_better_can_come) {
  forwarding_world World(1);
  auto First = attemptsIn(World.arrive(1, "whole"));
  auto Second = attemptsIn(World.answer(First[0], 500));
  cr_assert(Second.size() == 1);
  auto Commands = World.answer(Second[0], 502);
  const auto *Answer = outcomeIn<answered>(Commands);
  cr_assert(Answer && Answer->Results.size() == 1);
  cr_assert(Answer->Results[0].Status == 502);
  cr_assert(Answer->Form == answer_form::Whole);
}

Test(forwarded, takes_no_failure_for_a_result_of_a_shard) {
  forwarding_world World(2, 3, 0.5);
  auto Attempts = attemptsIn(World.arrive(1));
  auto Retries = attemptsIn(World.answer(Attempts[0], 404));
  cr_assert(Retries.size() == 1);
  World.answer(Attempts[1]);
  auto Commands = World.answer(Retries[0], 404);
  const auto *Answer = outcomeIn<answered>(Commands);
  cr_assert(Answer && (Answer->Coverage == coverage{1, 2}));
}

Test(forwarded, stops_its_upstreams_when_the_caller_leaves) {
  forwarding_world World(4);
  learnLatency(World, "merged", milliseconds(5));
  auto First = attemptsIn(World.arrive(1));
  auto Hedges = attemptsIn(World.pass(milliseconds(20)));
  // The loser runs on until the caller leaves.
  if (!Hedges.empty())
    World.answer(Hedges[0]);
  auto Commands = World.Engine.handle(caller_left{1});
  std::size_t Open = First.size() + Hedges.size() - (Hedges.empty() ? 0 : 1);
  cr_assert(static_cast<std::size_t>(count<cancel_attempt>(Commands)) == Open);
  cr_assert(outcomeIn<caller_gone>(Commands) != nullptr);
  cr_assert(World.Engine.running() == 0);
}

Test(forwarded, gets_the_replicas_of_now_for_a_retry) {
  forwarding_world World(1, 1);
  auto First = attemptsIn(World.arrive(1));
  World.Upstreams[0].Instance = World.Upstreams[0].Address = "new";
  World.publish();
  auto Second = attemptsIn(World.fail(First[0], attempt_failure::Unknown));
  cr_assert(Second.size() == 1 && Second[0].Upstream == "new");
}

Test(forwarded, asks_for_no_claim_where_it_must_not_run_twice) {
  forwarding_world World(1);
  World.Configuration.Profiles[1].MayRepeat = false;
  World.publish();
  auto Commands = World.arrive(1, "whole");
  auto Attempts = attemptsIn(Commands);
  cr_assert(Attempts.size() == 1 && count<claim_wanted>(Commands) == 0);
  auto Last = World.fail(Attempts[0], attempt_failure::Unknown);
  cr_assert(attemptsIn(Last).empty());
  cr_assert(outcomeIn<outcome_unknown>(Last) != nullptr);
}

Test(forwarded, repeats_what_must_not_run_twice_only_if_it_was_not_run) {
  forwarding_world World(1);
  World.Configuration.Profiles[1].MayRepeat = false;
  World.publish();
  auto First = attemptsIn(World.arrive(1, "whole"));
  auto Second = attemptsIn(World.fail(First[0], attempt_failure::Refused));
  cr_assert(Second.size() == 1);
  auto Third = attemptsIn(World.fail(Second[0], attempt_failure::NotSent));
  cr_assert(Third.size() == 1);
}
