/// \file
/// Tests of forwarded requests whose upstreams are down, shed load or are
/// behind a network partition.

#include "forwarding_simulation.h"

#include <criterion/criterion.h>

using namespace masticproxy;
using std::chrono::milliseconds;

namespace {

/// \returns the reason why the outcome in \p Commands lacks a shard, or nothing
/// unless exactly one shard is missing.
std::optional<gap_cause> onlyGap(const std::vector<engine_command> &Commands) {
  for (const engine_command &Command : Commands)
    if (auto *Ended = std::get_if<deliver_outcome>(&Command))
      if (Ended->Account.Missing.size() == 1)
        return Ended->Account.Missing[0].Cause;
  return std::nullopt;
}

/// Ends each open attempt at once: those at \p DownShard can't connect, the
/// others are answered. \returns the number of attempts in all. \p Last is
/// replaced by the engine's last commands.
std::size_t attemptsWhileDown(forwarding_simulation &Simulation,
                              std::string_view DownShard,
                              std::vector<engine_command> &Last) {
  std::vector<send_attempt> Open = attemptsIn(Last);
  std::size_t AttemptCount = Open.size();
  while (!Open.empty() && AttemptCount < 1000) {
    send_attempt Attempt = Open.back();
    Open.pop_back();
    bool Down = Attempt.Shard == DownShard;
    Last = Down ? Simulation.fail(Attempt, attempt_failure::NotSent)
                : Simulation.answer(Attempt);
    for (const send_attempt &Next : attemptsIn(Last)) {
      Open.insert(Open.begin(), Next);
      ++AttemptCount;
    }
  }
  return AttemptCount;
}

} // namespace

// All servers of a shard are down. The shard gets a few attempts and is then
// abandoned, rather than retried until the request has to be answered.
Test(forwarded_outage, abandons_a_shard_if_no_upstream_connects) {
  forwarding_simulation Simulation(4);
  for (query_ticket Ticket = 1; Ticket <= 20; ++Ticket) {
    std::vector<engine_command> Last = Simulation.submit(Ticket);
    std::size_t AttemptCount = attemptsWhileDown(Simulation, "s0", Last);
    constexpr std::size_t OthersAndTwoRounds = 9;
    cr_assert(AttemptCount <= OthersAndTwoRounds, "%zu attempts", AttemptCount);
    auto *Answer = outcomeIn<answered>(Last);
    cr_assert(Answer && Answer->Coverage.Answered == 3);
    cr_assert(onlyGap(Last) == gap_cause::NotConnected);
  }
}

// All servers of a service are down, and the request needs one of them, so that
// it is refused without waiting.
Test(forwarded_outage, refuses_at_once_if_no_upstream_connects) {
  forwarding_simulation Simulation(1);
  std::vector<engine_command> Last = Simulation.submit(1, "whole");
  std::size_t AttemptCount = attemptsWhileDown(Simulation, "single", Last);
  constexpr std::size_t TwoRounds = 6;
  cr_assert(AttemptCount <= TwoRounds, "%zu attempts", AttemptCount);
  auto *Refusal = outcomeIn<not_run>(Last);
  cr_assert(Refusal && Refusal->RetryAfter == milliseconds(1000));
}

// Many servers shed load, and the budget for further attempts is used up. The
// caller is notified at once, so that it has time to retry.
Test(forwarded_outage, ends_at_once_if_the_budget_allows_no_attempt) {
  forwarding_simulation Simulation(2, /*Replicas=*/3, /*Coverage=*/0.9);
  for (query_ticket Ticket = 1; Ticket <= 20; ++Ticket) {
    std::vector<engine_command> Last = Simulation.submit(Ticket);
    auto Open = attemptsIn(Last);
    while (!Open.empty()) {
      bool Sheds = Open[0].Shard == "s0";
      Last = Sheds ? Simulation.fail(Open[0], attempt_failure::Refused)
                   : Simulation.answer(Open[0]);
      Open.erase(Open.begin());
      for (const send_attempt &Next : attemptsIn(Last))
        Open.push_back(Next);
    }
    Simulation.advanceTime(milliseconds(40));
    for (const send_attempt &Late : Open)
      Simulation.fail(Late, attempt_failure::Refused);
  }
  std::vector<engine_command> Last = Simulation.submit(21);
  for (const send_attempt &Attempt : attemptsIn(Last))
    Last = Attempt.Shard == "s0"
               ? Simulation.fail(Attempt, attempt_failure::Refused)
               : Simulation.answer(Attempt);
  cr_assert(outcomeIn<outcome_unknown>(Last) != nullptr);
  cr_assert(onlyGap(Last) == gap_cause::NoBudget);
}

namespace {

/// Simulates a network partition. The VM's own data centre keeps the first
/// upstream of each shard but s0. Then two requests arrive and no upstream
/// responds for as long as a VM takes to detect the partition.
void partitionFromOthers(forwarding_simulation &Simulation) {
  for (upstream_entry &Entry : Simulation.Upstreams)
    if (!Entry.Instance.ends_with("-0") || Entry.Shard == "s0")
      Entry.DataCentre = "dc2";
  Simulation.publish();
  for (query_ticket Ticket = 101; Ticket <= 102; ++Ticket) {
    Simulation.submit(Ticket);
    Simulation.advanceTime(milliseconds(500));
    Simulation.Engine.handle(caller_left{Ticket});
  }
}

} // namespace

// A data centre is partitioned from the others. Its VMs send attempts to the
// upstreams that they can reach, and wait for no others.
Test(forwarded_outage, uses_only_its_own_data_centre_while_partitioned) {
  engine_limits Limits = forwarding_simulation::limits();
  Limits.AllDataCentres = true;
  forwarding_simulation Simulation(8, /*Replicas=*/3, /*Coverage=*/0.75,
                                   Limits);
  partitionFromOthers(Simulation);
  cr_assert(Simulation.Engine.isPartitioned());
  std::vector<engine_command> Last = Simulation.submit(1);
  auto Open = attemptsIn(Last);
  cr_assert(Open.size() == 7, "%zu attempts", Open.size());
  for (const send_attempt &Attempt : Open) {
    cr_assert(Attempt.Upstream.ends_with("-0"));
    Last = Simulation.answer(Attempt);
  }
  auto *Answer = outcomeIn<answered>(Last);
  cr_assert(Answer && Answer->Coverage.Answered == 7);
  cr_assert(onlyGap(Last) == gap_cause::OutOfReach);
}

// The upstreams in a partitioned data centre are too few for the coverage. No
// work is sent to them in vain, and the caller can retry at once.
Test(forwarded_outage, refuses_at_once_if_a_partition_leaves_too_few_shards) {
  engine_limits Limits = forwarding_simulation::limits();
  Limits.AllDataCentres = true;
  forwarding_simulation Simulation(8, /*Replicas=*/3, /*Coverage=*/0.95,
                                   Limits);
  partitionFromOthers(Simulation);
  std::vector<engine_command> Commands = Simulation.submit(1);
  cr_assert(attemptsIn(Commands).empty());
  cr_assert(outcomeIn<not_run>(Commands) != nullptr);
}
