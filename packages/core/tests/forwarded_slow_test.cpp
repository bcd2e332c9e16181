/// \file
/// What becomes of forwarded requests whose upstreams are slow or silent, and
/// when they are hedged, under loads seen in service.

#include "forwarding_world.h"

#include <criterion/criterion.h>

using namespace masticproxy;
using std::chrono::milliseconds;

// An upstream falls silent; its hedge is in time, and the attempt is left to
// run until its deadline shows that no answer comes.
Test(forwarded_slow, leaves_an_upstream_that_never_answered_a_loser) {
  forwarding_world World(1);
  auto Silent = attemptsIn(World.arrive(1)).at(0);
  for (const send_attempt &Hedge : attemptsIn(World.pass(milliseconds(100))))
    World.answer(Hedge);
  World.pass(milliseconds(500));
  World.fail(Silent, attempt_failure::Unknown);
  for (query_ticket Ticket = 2; Ticket <= 20; ++Ticket) {
    auto Next = attemptsIn(World.arrive(Ticket)).at(0);
    cr_assert(Next.Upstream != Silent.Upstream);
    World.answer(Next);
    World.pass(milliseconds(10));
  }
}

// A third of a shard's upstreams stays slow for long, on a VM that gets about a
// request a second and so sees each of them every few seconds only.
Test(forwarded_slow, remembers_a_slow_upstream_where_requests_are_rare) {
  engine_limits Limits = forwarding_world::limits();
  Limits.Tuning.TroubleCost = 10;
  forwarding_world World(1, /*Replicas=*/3, /*Coverage=*/0.75, Limits);
  constexpr milliseconds Usual{14};
  query_ticket Ticket = 0;
  // Requests to many shards teach the usual latency at once.
  while (++Ticket <= 100) {
    auto Open = attemptsIn(World.arrive(Ticket));
    World.pass(Usual);
    World.answer(Open[0]);
  }
  int Slow = 0;
  for (int Second = 0; Second < 60; ++Second) {
    auto Open = attemptsIn(World.arrive(++Ticket));
    World.pass(Usual);
    bool IsSlow = Open[0].Upstream == "s0-0";
    Slow += IsSlow ? 1 : 0;
    if (!IsSlow)
      World.answer(Open[0]);
    for (const send_attempt &Attempt : attemptsIn(World.pass(Usual * 6)))
      World.answer(Attempt);
    World.answer(Open[0]);
    World.pass(milliseconds(900));
  }
  // By chance it would get 20.
  cr_assert(Slow <= 10, "%d of 60", Slow);
}

// Many VMs share the callers, so that each gets about a request a second: what
// these earn pays for a hedge of every sixth only.
Test(forwarded_slow, hedges_on_where_requests_are_rare) {
  forwarding_world World(1);
  constexpr milliseconds Usual{14};
  std::size_t Hedged = 0;
  for (query_ticket Ticket = 1; Ticket <= 60; ++Ticket) {
    auto Open = attemptsIn(World.arrive(Ticket));
    World.pass(Usual);
    bool Late = Ticket % 2 == 0;
    if (!Late)
      World.answer(Open[0]);
    auto Hedges = attemptsIn(World.pass(Usual * 4));
    Hedged += Hedges.size();
    for (const send_attempt &Attempt : Hedges)
      World.answer(Attempt);
    if (Late)
      World.answer(Open[0]);
    World.pass(milliseconds(930));
  }
  // 3 in each window of 10 s, 11 s at most by its parts.
  cr_assert(Hedged >= 15, "%zu hedges", Hedged);
}

// Servers of many shards turn slow at once: a fifth of all attempts.
Test(forwarded_slow, hedges_by_the_usual_latency_while_a_fifth_is_slow) {
  forwarding_world World(5);
  constexpr milliseconds Usual{14};
  int Hedged = 0;
  for (query_ticket Ticket = 1; Ticket <= 200; ++Ticket) {
    auto Open = attemptsIn(World.arrive(Ticket));
    auto Late = World.pass(Usual);
    // The first replica of each shard is nine times as slow.
    for (const send_attempt &Attempt : Open)
      if (!Attempt.Upstream.ends_with("-0"))
        World.answer(Attempt);
    auto Hedges = attemptsIn(World.pass(Usual * 3));
    Hedged += static_cast<int>(Hedges.size());
    for (const send_attempt &Attempt : Hedges)
      World.answer(Attempt);
    World.pass(Usual * 5);
    for (const send_attempt &Attempt : Open)
      if (Attempt.Upstream.ends_with("-0"))
        World.answer(Attempt);
  }
  cr_assert(Hedged > 0);
}

namespace {

constexpr int SlowRequests = 400;

/// \returns how many of the requests went to an upstream that stays slow.
int sentToSlow(const engine_limits &Limits) {
  forwarding_world World(1, /*Replicas=*/3, /*Coverage=*/0.75, Limits);
  constexpr milliseconds Usual{14};
  int Slow = 0;
  for (query_ticket Ticket = 1; Ticket <= SlowRequests; ++Ticket) {
    auto Open = attemptsIn(World.arrive(Ticket));
    bool IsSlow = Open[0].Upstream == "s0-0";
    Slow += IsSlow ? 1 : 0;
    World.pass(Usual);
    if (!IsSlow) {
      World.answer(Open[0]);
      continue;
    }
    auto Hedges = attemptsIn(World.pass(Usual * 4));
    for (const send_attempt &Attempt : Hedges)
      World.answer(Attempt);
    World.pass(Usual * 4);
    World.answer(Open[0]);
  }
  return Slow;
}

} // namespace

// A server that stays slow: it must not get its share of the attempts.
Test(forwarded_slow, avoids_an_upstream_that_stays_slow) {
  int Slow = sentToSlow(forwarding_world::limits());
  // A third of them would be its share.
  cr_assert(Slow < SlowRequests / 10, "%d", Slow);
}

Test(forwarded_slow, the_load_of_a_slow_upstream_catches_the_naive_policy) {
  int Slow = sentToSlow(forwarding_world::naiveLimits());
  cr_assert(Slow > SlowRequests / 10, "%d", Slow);
}

namespace {

/// \returns the hedges of the only straggler of a VM's first request.
std::vector<send_attempt> hedgesAfterStart(forwarding_world &World) {
  auto First = attemptsIn(World.arrive(1));
  for (std::size_t I = 1; I < First.size(); ++I)
    World.answer(First[I]);
  return attemptsIn(World.pass(forwarding_world::Target / 2));
}

} // namespace

// All VMs start at once and know no latencies yet.
Test(forwarded_slow, hedges_a_straggler_right_after_a_start) {
  forwarding_world World(4);
  auto Hedges = hedgesAfterStart(World);
  cr_assert(Hedges.size() == 1);
  cr_assert(outcomeIn<answered>(World.answer(Hedges[0])) != nullptr);
}

// A VM short of processor time: all shards of a request are late together.
Test(forwarded_slow, keeps_its_hedges_while_all_shards_are_late) {
  forwarding_world World(10);
  auto First = attemptsIn(World.arrive(1));
  auto Early = attemptsIn(World.pass(forwarding_world::Target / 2));
  cr_assert(Early.empty(), "%zu hedges", Early.size());
  for (std::size_t I = 1; I < First.size(); ++I)
    World.answer(First[I]);
  auto Hedges = attemptsIn(World.pass(milliseconds(10)));
  cr_assert(Hedges.size() == 1 && Hedges[0].Shard == First[0].Shard);
}

Test(forwarded_slow, a_start_without_hedges_is_caught) {
  forwarding_world World(4, /*Replicas=*/3, /*Coverage=*/0.75,
                         forwarding_world::naiveLimits());
  cr_assert(hedgesAfterStart(World).empty());
}
