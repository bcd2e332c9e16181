/// \file
/// Tests of forwarded requests: choice of the route, attempts, and the time at
/// which a request is answered.

#include "forwarding_simulation.h"

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

/// Has requests to \p Route answered after \p Latency, so that the engine
/// learns the usual latency and hedges.
void learnLatency(forwarding_simulation &Simulation, const std::string &Route,
                  milliseconds Latency) {
  constexpr query_ticket FirstTicket = 1000;
  constexpr int Requests = 100;
  for (int I = 0; I < Requests; ++I) {
    auto Attempts = attemptsIn(Simulation.submit(FirstTicket + I, Route));
    Simulation.Clock.advance(Latency);
    for (const send_attempt &Attempt : Attempts)
      Simulation.answer(Attempt);
  }
}

} // namespace

Test(forwarded, selects_profile_and_index_by_route) {
  forwarding_simulation Simulation(4);
  auto Attempts = attemptsIn(Simulation.submit(1));
  cr_assert(Attempts.size() == 4);
  cr_assert(Attempts[0].Forwarded->Target == "/merged/1");
  cr_assert(Attempts[0].Instance == Attempts[0].Upstream);
  cr_assert(outcomeIn<unknown_route>(Simulation.submit(2, "nothing")) !=
            nullptr);
}

Test(forwarded, answers_when_all_shards_have_answered) {
  forwarding_simulation Simulation(4);
  std::vector<engine_command> Last;
  for (const send_attempt &Attempt : attemptsIn(Simulation.submit(1)))
    Last = Simulation.answer(Attempt);
  const auto *Answer = outcomeIn<answered>(Last);
  cr_assert(Answer && Answer->Results.size() == 4);
  cr_assert(Answer->Form == answer_form::TopK);
  cr_assert(Answer->Results[0].Signature.starts_with("signature of s0"));
}

// Shortly before the target latency, by the answer margin, the request is
// answered without the shard that is still open, since callers prefer that to a
// complete answer that arrives later.
Test(forwarded, answers_without_a_straggler_at_the_target_latency) {
  forwarding_simulation Simulation(4);
  auto Attempts = attemptsIn(Simulation.submit(1));
  for (std::size_t I = 1; I < Attempts.size(); ++I)
    Simulation.answer(Attempts[I]);
  cr_assert(count<deliver_outcome>(Simulation.advanceTime(milliseconds(85))) ==
            0);
  auto Commands = Simulation.advanceTime(milliseconds(10));
  const auto *Answer = outcomeIn<answered>(Commands);
  cr_assert(Answer && Answer->Results.size() == 3);
  // The straggler is not cancelled, so that its connection stays usable.
  cr_assert(count<cancel_attempt>(Commands) == 0);
}

Test(forwarded, waits_for_all_shards_without_a_target_latency) {
  forwarding_simulation Simulation(4);
  for (profile &Profile : Simulation.Configuration.Profiles)
    Profile.TargetLatency = milliseconds(0);
  ++Simulation.Configuration.Version;
  Simulation.publish();
  auto Attempts = attemptsIn(Simulation.submit(1));
  for (std::size_t I = 1; I < Attempts.size(); ++I)
    Simulation.answer(Attempts[I]);
  auto Commands = Simulation.advanceTime(forwarding_simulation::Target * 2);
  cr_assert(outcomeIn<answered>(Commands) == nullptr);
}

Test(forwarded, answers_past_the_target_once_coverage_suffices) {
  forwarding_simulation Simulation(4);
  auto Attempts = attemptsIn(Simulation.submit(1));
  Simulation.answer(Attempts[0]);
  Simulation.answer(Attempts[1]);
  cr_assert(count<deliver_outcome>(Simulation.advanceTime(milliseconds(200))) ==
            0);
  const auto Commands = Simulation.answer(Attempts[2]);
  const auto *Answer = outcomeIn<answered>(Commands);
  cr_assert(Answer && Answer->Results.size() == 3);
}

// A success names at least one part, whatever coverage the route asks for.
Test(forwarded, gives_no_answer_without_any_part) {
  forwarding_simulation Simulation(1, 2, /*Coverage=*/0.0);
  std::vector<engine_command> Last;
  auto Attempts = attemptsIn(Simulation.submit(1));
  while (!Attempts.empty()) {
    Last = Simulation.fail(Attempts[0], attempt_failure::Refused);
    Attempts = attemptsIn(Last);
  }
  auto Rest = Simulation.advanceTime(forwarding_simulation::Wait * 2);
  Last.insert(Last.end(), Rest.begin(), Rest.end());
  cr_assert(outcomeIn<answered>(Last) == nullptr);
  cr_assert(count<deliver_outcome>(Last) == 1);
}

Test(forwarded, gives_no_answer_of_an_index_without_shards) {
  forwarding_simulation Simulation(0, 2, /*Coverage=*/0.0);
  auto Commands = Simulation.submit(1);
  cr_assert(outcomeIn<not_run>(Commands) != nullptr);
}

Test(forwarded, never_exceeds_the_wait_of_the_caller) {
  forwarding_simulation Simulation(1);
  query_arrived Query;
  Query.Ticket = 1;
  Query.RequestId = "r";
  Query.CallerWait = milliseconds(50);
  auto Forwarded = std::make_shared<forwarded_request>();
  Forwarded->Host = "host";
  Forwarded->Target = "/merged/1";
  Query.Forwarded = Forwarded;
  auto Attempts = attemptsIn(Simulation.Engine.handle(std::move(Query)));
  cr_assert(Attempts[0].Deadline == Simulation.Clock.now() + milliseconds(50));
  cr_assert(outcomeIn<too_late>(Simulation.advanceTime(milliseconds(51))) !=
            nullptr);
}

// All upstreams of a shard were removed from the list.
Test(forwarded, does_not_wait_for_a_shard_without_upstreams) {
  forwarding_simulation Simulation(4);
  std::erase_if(Simulation.Upstreams,
                [](const upstream_entry &E) { return E.Shard == "s1"; });
  Simulation.publish();
  std::vector<engine_command> Last;
  for (const send_attempt &Attempt : attemptsIn(Simulation.submit(1)))
    Last = Simulation.answer(Attempt);
  const auto *Answer = outcomeIn<answered>(Last);
  cr_assert(Answer && (Answer->Coverage == coverage{3, 4}));
}

Test(forwarded, refuses_at_once_if_too_few_shards_have_upstreams) {
  forwarding_simulation Simulation(4);
  std::erase_if(Simulation.Upstreams,
                [](const upstream_entry &E) { return E.Shard <= "s1"; });
  Simulation.publish();
  auto Commands = Simulation.submit(1);
  cr_assert(outcomeIn<not_run>(Commands) != nullptr);
  cr_assert(attemptsIn(Commands).empty());
}

Test(forwarded, sends_no_more_attempts_than_the_profile_allows) {
  forwarding_simulation Simulation(1);
  learnLatency(Simulation, "merged", milliseconds(5));
  auto First = attemptsIn(Simulation.submit(1));
  auto Hedges = attemptsIn(Simulation.advanceTime(milliseconds(50)));
  cr_assert(First.size() == 1 && Hedges.size() == 1);
  cr_assert(Hedges[0].Upstream != First[0].Upstream);
  Simulation.fail(First[0], attempt_failure::Unknown);
  auto Last = Simulation.fail(Hedges[0], attempt_failure::Failed);
  cr_assert(attemptsIn(Last).empty());
  cr_assert(outcomeIn<outcome_unknown>(Last) != nullptr);
}

Test(forwarded, does_not_count_refused_attempts_toward_the_limit) {
  forwarding_simulation Simulation(1);
  auto First = attemptsIn(Simulation.submit(1));
  auto Second = attemptsIn(Simulation.fail(First[0], attempt_failure::Refused));
  cr_assert(Second.size() == 1);
  auto Third = attemptsIn(Simulation.fail(Second[0], attempt_failure::Refused));
  // The third attempt may start at once or only after the back-off.
  cr_assert(Third.size() +
                attemptsIn(Simulation.advanceTime(milliseconds(50))).size() >
            0);
}

Test(forwarded, forwards_an_error_status_after_the_last_attempt) {
  forwarding_simulation Simulation(1);
  auto First = attemptsIn(Simulation.submit(1, "whole"));
  auto Second = attemptsIn(Simulation.answer(First[0], 500));
  cr_assert(Second.size() == 1);
  auto Commands = Simulation.answer(Second[0], 502);
  const auto *Answer = outcomeIn<answered>(Commands);
  cr_assert(Answer && Answer->Results.size() == 1);
  cr_assert(Answer->Results[0].Status == 502);
  cr_assert(Answer->Form == answer_form::Whole);
}

Test(forwarded, does_not_count_an_error_status_as_a_result_when_merging) {
  forwarding_simulation Simulation(2, 3, 0.5);
  auto Attempts = attemptsIn(Simulation.submit(1));
  auto Retries = attemptsIn(Simulation.answer(Attempts[0], 404));
  cr_assert(Retries.size() == 1);
  Simulation.answer(Attempts[1]);
  auto Commands = Simulation.answer(Retries[0], 404);
  const auto *Answer = outcomeIn<answered>(Commands);
  cr_assert(Answer && (Answer->Coverage == coverage{1, 2}));
}

Test(forwarded, cancels_its_attempts_when_the_caller_leaves) {
  forwarding_simulation Simulation(4);
  learnLatency(Simulation, "merged", milliseconds(5));
  auto First = attemptsIn(Simulation.submit(1));
  auto Hedges = attemptsIn(Simulation.advanceTime(milliseconds(20)));
  // The redundant attempt continues until the caller leaves.
  if (!Hedges.empty())
    Simulation.answer(Hedges[0]);
  auto Commands = Simulation.Engine.handle(caller_left{1});
  std::size_t Open = First.size() + Hedges.size() - (Hedges.empty() ? 0 : 1);
  cr_assert(static_cast<std::size_t>(count<cancel_attempt>(Commands)) == Open);
  cr_assert(outcomeIn<caller_gone>(Commands) != nullptr);
  cr_assert(Simulation.Engine.running() == 0);
}

Test(forwarded, retries_on_the_current_replicas) {
  forwarding_simulation Simulation(1, 1);
  auto First = attemptsIn(Simulation.submit(1));
  Simulation.Upstreams[0].Instance = Simulation.Upstreams[0].Address = "new";
  Simulation.publish();
  auto Second = attemptsIn(Simulation.fail(First[0], attempt_failure::Unknown));
  cr_assert(Second.size() == 1 && Second[0].Upstream == "new");
}

Test(forwarded, ends_a_non_idempotent_request_without_claim_or_retry) {
  forwarding_simulation Simulation(1);
  Simulation.Configuration.Profiles[1].MayRepeat = false;
  Simulation.publish();
  auto Commands = Simulation.submit(1, "whole");
  auto Attempts = attemptsIn(Commands);
  cr_assert(Attempts.size() == 1 && count<claim_wanted>(Commands) == 0);
  auto Last = Simulation.fail(Attempts[0], attempt_failure::Unknown);
  cr_assert(attemptsIn(Last).empty());
  cr_assert(outcomeIn<outcome_unknown>(Last) != nullptr);
}

Test(forwarded, retries_a_non_idempotent_request_only_if_it_was_not_run) {
  forwarding_simulation Simulation(1);
  Simulation.Configuration.Profiles[1].MayRepeat = false;
  Simulation.publish();
  auto First = attemptsIn(Simulation.submit(1, "whole"));
  auto Second = attemptsIn(Simulation.fail(First[0], attempt_failure::Refused));
  cr_assert(Second.size() == 1);
  auto Third = attemptsIn(Simulation.fail(Second[0], attempt_failure::NotSent));
  cr_assert(Third.size() == 1);
}
