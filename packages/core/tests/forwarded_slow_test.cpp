/// \file
/// Tests of forwarded requests whose upstreams are slow or unresponsive, and of
/// when they are hedged, under loads that occur in production.

#include "forwarding_simulation.h"

#include <criterion/criterion.h>

using namespace masticproxy;
using std::chrono::milliseconds;

// An upstream becomes unresponsive. The hedge answers in time, and the
// redundant attempt continues until its deadline shows that it gets no answer.
// That must count against its upstream.
Test(forwarded_slow, avoids_an_upstream_that_left_an_attempt_unanswered) {
  forwarding_simulation Simulation(1);
  auto Unresponsive = attemptsIn(Simulation.submit(1)).at(0);
  for (const send_attempt &Hedge :
       attemptsIn(Simulation.advanceTime(milliseconds(100))))
    Simulation.answer(Hedge);
  Simulation.advanceTime(milliseconds(500));
  Simulation.fail(Unresponsive, attempt_failure::Unknown);
  for (query_ticket Ticket = 2; Ticket <= 20; ++Ticket) {
    auto Next = attemptsIn(Simulation.submit(Ticket)).at(0);
    cr_assert(Next.Upstream != Unresponsive.Upstream);
    Simulation.answer(Next);
    Simulation.advanceTime(milliseconds(10));
  }
}

// A third of a shard's upstreams stays slow for long, on a VM that receives
// about one request per second and so uses each of them every few seconds only.
Test(forwarded_slow, avoids_a_slow_upstream_at_low_request_rates) {
  engine_limits Limits = forwarding_simulation::limits();
  Limits.Tuning.TroubleCost = 10;
  forwarding_simulation Simulation(1, /*Replicas=*/3, /*Coverage=*/0.75,
                                   Limits);
  constexpr milliseconds Usual{14};
  query_ticket Ticket = 0;
  // In production a VM learns the usual latency at once from its requests to
  // many shards. These requests stand for them.
  while (++Ticket <= 100) {
    auto Open = attemptsIn(Simulation.submit(Ticket));
    Simulation.advanceTime(Usual);
    Simulation.answer(Open[0]);
  }
  int Slow = 0;
  for (int Second = 0; Second < 60; ++Second) {
    auto Open = attemptsIn(Simulation.submit(++Ticket));
    Simulation.advanceTime(Usual);
    bool IsSlow = Open[0].Upstream == "s0-0";
    Slow += IsSlow ? 1 : 0;
    if (!IsSlow)
      Simulation.answer(Open[0]);
    for (const send_attempt &Attempt :
         attemptsIn(Simulation.advanceTime(Usual * 6)))
      Simulation.answer(Attempt);
    Simulation.answer(Open[0]);
    Simulation.advanceTime(milliseconds(900));
  }
  // A random choice would send it about 20.
  cr_assert(Slow <= 10, "%d of 60", Slow);
}

// Many VMs share the callers, so that each receives about one request per
// second. The budget that these requests earn allows a hedge for every sixth
// request only.
Test(forwarded_slow, keeps_hedging_at_low_request_rates) {
  forwarding_simulation Simulation(1);
  constexpr milliseconds Usual{14};
  std::size_t Hedged = 0;
  for (query_ticket Ticket = 1; Ticket <= 60; ++Ticket) {
    auto Open = attemptsIn(Simulation.submit(Ticket));
    Simulation.advanceTime(Usual);
    bool Late = Ticket % 2 == 0;
    if (!Late)
      Simulation.answer(Open[0]);
    auto Hedges = attemptsIn(Simulation.advanceTime(Usual * 4));
    Hedged += Hedges.size();
    for (const send_attempt &Attempt : Hedges)
      Simulation.answer(Attempt);
    if (Late)
      Simulation.answer(Open[0]);
    Simulation.advanceTime(milliseconds(930));
  }
  // The budget allows 3 in each window of 10 s, which may last up to 11 s as it
  // is counted in parts.
  cr_assert(Hedged >= 15, "%zu hedges", Hedged);
}

// Servers of many shards become slow at once, so that a fifth of all attempts
// is slow.
Test(forwarded_slow, hedges_by_the_usual_latency_while_a_fifth_is_slow) {
  forwarding_simulation Simulation(5);
  constexpr milliseconds Usual{14};
  int Hedged = 0;
  for (query_ticket Ticket = 1; Ticket <= 200; ++Ticket) {
    auto Open = attemptsIn(Simulation.submit(Ticket));
    auto Late = Simulation.advanceTime(Usual);
    // The first replica of each shard takes nine times as long.
    for (const send_attempt &Attempt : Open)
      if (!Attempt.Upstream.ends_with("-0"))
        Simulation.answer(Attempt);
    auto Hedges = attemptsIn(Simulation.advanceTime(Usual * 3));
    Hedged += static_cast<int>(Hedges.size());
    for (const send_attempt &Attempt : Hedges)
      Simulation.answer(Attempt);
    Simulation.advanceTime(Usual * 5);
    for (const send_attempt &Attempt : Open)
      if (Attempt.Upstream.ends_with("-0"))
        Simulation.answer(Attempt);
  }
  cr_assert(Hedged > 0);
}

namespace {

constexpr int SlowRequests = 400;

/// \returns how many of the requests were sent first to an upstream that stays
/// slow.
int sentToSlow(const engine_limits &Limits) {
  forwarding_simulation Simulation(1, /*Replicas=*/3, /*Coverage=*/0.75,
                                   Limits);
  constexpr milliseconds Usual{14};
  int Slow = 0;
  for (query_ticket Ticket = 1; Ticket <= SlowRequests; ++Ticket) {
    auto Open = attemptsIn(Simulation.submit(Ticket));
    bool IsSlow = Open[0].Upstream == "s0-0";
    Slow += IsSlow ? 1 : 0;
    Simulation.advanceTime(Usual);
    if (!IsSlow) {
      Simulation.answer(Open[0]);
      continue;
    }
    auto Hedges = attemptsIn(Simulation.advanceTime(Usual * 4));
    for (const send_attempt &Attempt : Hedges)
      Simulation.answer(Attempt);
    Simulation.advanceTime(Usual * 4);
    Simulation.answer(Open[0]);
  }
  return Slow;
}

} // namespace

// A server that stays slow must get less than an equal share of the attempts.
Test(forwarded_slow, avoids_an_upstream_that_stays_slow) {
  int Slow = sentToSlow(forwarding_simulation::limits());
  // An equal share would be a third.
  cr_assert(Slow < SlowRequests / 10, "%d", Slow);
}

Test(forwarded_slow, detects_the_naive_policy_by_its_load_on_a_slow_upstream) {
  int Slow = sentToSlow(forwarding_simulation::naiveLimits());
  cr_assert(Slow > SlowRequests / 10, "%d", Slow);
}

namespace {

/// \returns the hedges that are sent for the only straggler of a VM's first
/// request.
std::vector<send_attempt> hedgesAfterStart(forwarding_simulation &Simulation) {
  auto First = attemptsIn(Simulation.submit(1));
  for (std::size_t I = 1; I < First.size(); ++I)
    Simulation.answer(First[I]);
  return attemptsIn(Simulation.advanceTime(forwarding_simulation::Target / 2));
}

} // namespace

// All VMs start at once and have measured no latencies yet.
Test(forwarded_slow, hedges_a_straggler_right_after_a_start) {
  forwarding_simulation Simulation(4);
  auto Hedges = hedgesAfterStart(Simulation);
  cr_assert(Hedges.size() == 1);
  cr_assert(outcomeIn<answered>(Simulation.answer(Hedges[0])) != nullptr);
}

// A VM is short of processor time, so that all shards of a request are late
// together. Hedges would not help and must be kept for a real straggler.
Test(forwarded_slow, sends_no_hedges_while_all_shards_are_late) {
  forwarding_simulation Simulation(10);
  auto First = attemptsIn(Simulation.submit(1));
  auto Early =
      attemptsIn(Simulation.advanceTime(forwarding_simulation::Target / 2));
  cr_assert(Early.empty(), "%zu hedges", Early.size());
  for (std::size_t I = 1; I < First.size(); ++I)
    Simulation.answer(First[I]);
  auto Hedges = attemptsIn(Simulation.advanceTime(milliseconds(10)));
  cr_assert(Hedges.size() == 1 && Hedges[0].Shard == First[0].Shard);
}

Test(forwarded_slow, detects_a_start_without_hedges) {
  forwarding_simulation Simulation(4, /*Replicas=*/3, /*Coverage=*/0.75,
                                   forwarding_simulation::naiveLimits());
  cr_assert(hedgesAfterStart(Simulation).empty());
}
