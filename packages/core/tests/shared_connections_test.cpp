/// \file
/// Connections to upstreams that many VMs share without knowing of each other.

#include "forwarding_simulation.h"
#include "masticproxy/Routing"

#include <criterion/criterion.h>

#include <cmath>
#include <map>

using namespace masticproxy;
using std::chrono::milliseconds;

namespace {

engine_limits sharingLimits() {
  engine_limits Limits = forwarding_simulation::limits();
  Limits.RatePerConnection = 8;
  return Limits;
}

/// Sends \p PerSecond requests a second for \p Span to one shard with
/// \p Replicas upstreams that take \p Latency. \returns the most attempts that
/// were open at a time.
std::size_t mostOpen(int PerSecond, milliseconds Latency, milliseconds Span,
                     unsigned Replicas = 1) {
  forwarding_simulation Simulation(1, Replicas, 0.75, sharingLimits());
  std::multimap<time_point, send_attempt> Open;
  std::size_t Most = 0;
  auto Take = [&](const std::vector<engine_command> &Commands) {
    for (const send_attempt &Attempt : attemptsIn(Commands))
      Open.emplace(Simulation.Clock.now() + Latency, Attempt);
    Most = std::max(Most, Open.size());
  };
  query_ticket Ticket = 0;
  milliseconds Interval{1000 / PerSecond};
  for (milliseconds Past{0}; Past < Span; Past += milliseconds(1)) {
    if (Past.count() % Interval.count() == 0)
      Take(Simulation.submit(++Ticket));
    Take(Simulation.advanceTime(milliseconds(1)));
    while (!Open.empty() && Open.begin()->first <= Simulation.Clock.now()) {
      send_attempt Attempt = Open.begin()->second;
      Open.erase(Open.begin());
      Take(Simulation.answer(Attempt));
    }
  }
  return Most;
}

} // namespace

// All but one upstream of a shard leave at a site of many VMs. Each VM sends it
// a request or two a second, and its attempts grow slow together. If each VM
// opened several connections, the first third of them would hold all that the
// upstream takes, and the others lose the shard.
Test(shared_connections, a_vm_with_few_requests_holds_one) {
  cr_assert(mostOpen(2, milliseconds(900), std::chrono::seconds(8)) == 1);
}

// At a site of a few VMs each sends many requests to each upstream.
Test(shared_connections, a_vm_with_many_requests_holds_several) {
  cr_assert(mostOpen(50, milliseconds(60), std::chrono::seconds(8)) == 3);
}

// Guards against: few requests that each take long wait for one another,
// although their upstreams have room.
Test(shared_connections,
     a_vm_with_few_long_requests_holds_as_many_as_it_needs) {
  cr_assert(mostOpen(2, milliseconds(900), std::chrono::seconds(8), 2) >= 2);
  cr_assert(mostOpen(10, milliseconds(900), std::chrono::seconds(8), 2) == 6);
}

Test(shared_connections, an_upstream_that_is_full_gets_no_further_ones) {
  forwarding_simulation Simulation(1, /*Replicas=*/2, 0.75, sharingLimits());
  auto First = attemptsIn(Simulation.submit(1));
  auto Second = attemptsIn(Simulation.submit(2));
  cr_assert(First.size() == 1 && Second.size() == 1);
  const std::string Full = Second[0].Upstream;
  attempt_failed Reset{Second[0].Attempt, attempt_failure::NotSent};
  Reset.AtLimit = true;
  std::size_t OpenThere = 0;
  std::vector<engine_command> Commands = Simulation.Engine.handle(Reset);
  for (query_ticket Ticket = 3; Ticket < 8; ++Ticket) {
    for (const send_attempt &Attempt : attemptsIn(Commands))
      OpenThere += Attempt.Upstream == Full ? 1 : 0;
    Commands = Simulation.submit(Ticket);
  }
  cr_assert(OpenThere <= 1, "%zu", OpenThere);
}

Test(shared_connections, a_rate_follows_the_attempts) {
  attempt_rate Rate;
  time_point Now{std::chrono::hours(1)};
  cr_assert(Rate.perSecond(Now) == 0);
  for (int I = 0; I < 400; ++I)
    Rate.add(Now += milliseconds(100));
  cr_assert(std::abs(Rate.perSecond(Now) - 10) < 1);
  cr_assert(Rate.perSecond(Now + std::chrono::seconds(60)) < 0.1);
}
