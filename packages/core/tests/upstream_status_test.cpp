/// \file
/// Upstreams that say in their responses that they leave, or want a pause.

#include "forwarding_simulation.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

using namespace masticproxy;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Has the process of \p Attempt say that it leaves.
void leave(forwarding_simulation &Simulation, const send_attempt &Attempt) {
  Simulation.Engine.handle(
      upstream_status{Attempt.Upstream, Attempt.Process, /*Leaving=*/true});
}

/// Has the process of \p Attempt ask for a pause, and refuse the attempt.
std::vector<engine_command> refuse(forwarding_simulation &Simulation,
                                   const send_attempt &Attempt,
                                   milliseconds Pause) {
  Simulation.Engine.handle(
      upstream_status{Attempt.Upstream, Attempt.Process, false, Pause});
  return Simulation.fail(Attempt, attempt_failure::Refused);
}

/// \returns whether any of \p Count requests to "whole" gets to \p Upstream.
bool reaches(forwarding_simulation &Simulation, const std::string &Upstream,
             query_ticket First, int Count = 50) {
  bool Reached = false;
  for (query_ticket Ticket = First; Ticket < First + Count; ++Ticket)
    for (const send_attempt &Attempt :
         attemptsIn(Simulation.submit(Ticket, "whole"))) {
      Reached = Reached || Attempt.Upstream == Upstream;
      Simulation.answer(Attempt);
    }
  return Reached;
}

} // namespace

// A server that leaves says so in its responses, before or without any entry of
// the platform; requests must not reach it later.
Test(leaving_upstream, gets_no_attempt_whatever_the_list_says) {
  forwarding_simulation Simulation(1, 3);
  auto Attempt = attemptsIn(Simulation.submit(1, "whole"))[0];
  leave(Simulation, Attempt);
  Simulation.answer(Attempt);
  cr_assert(not reaches(Simulation, Attempt.Upstream, 100));
  ++Simulation.Configuration.Version;
  Simulation.publish();
  cr_assert(not reaches(Simulation, Attempt.Upstream, 200));
  auto Listed = std::exchange(Simulation.Upstreams, {});
  Simulation.publish();
  Simulation.Upstreams = Listed;
  Simulation.publish();
  cr_assert(not reaches(Simulation, Attempt.Upstream, 300));
  Simulation.Clock.advance(seconds(60));
  cr_assert(not reaches(Simulation, Attempt.Upstream, 400));
}

Test(leaving_upstream, frees_its_address_and_its_identity) {
  for (bool SameIdentity : {true, false}) {
    forwarding_simulation Simulation(1, 1);
    auto Attempt = attemptsIn(Simulation.submit(1, "whole"))[0];
    leave(Simulation, Attempt);
    Simulation.answer(Attempt);
    cr_assert(not reaches(Simulation, Attempt.Upstream, 100));
    upstream_entry &Entry = Simulation.Upstreams.back();
    if (SameIdentity)
      Entry.Started = milliseconds(7);
    else
      Entry.Instance = "another";
    Simulation.publish();
    cr_assert(reaches(Simulation, Entry.Address, 200));
  }
}

Test(leaving_upstream, that_is_the_only_one_ends_requests_at_once) {
  forwarding_simulation Simulation(1, 1);
  auto Attempt = attemptsIn(Simulation.submit(1, "whole"))[0];
  leave(Simulation, Attempt);
  // What runs there ends.
  cr_assert(outcomeIn<answered>(Simulation.answer(Attempt)) != nullptr);
  auto Commands = Simulation.submit(2, "whole");
  cr_assert(attemptsIn(Commands).empty());
  cr_assert(outcomeIn<not_run>(Commands) != nullptr);
}

Test(leaving_upstream, gets_no_hedge_and_no_retry) {
  forwarding_simulation Simulation(1, 2);
  auto First = attemptsIn(Simulation.submit(1, "whole"))[0];
  auto Second = attemptsIn(Simulation.submit(2, "whole"))[0];
  if (First.Upstream == Second.Upstream)
    Second = attemptsIn(Simulation.submit(3, "whole"))[0];
  cr_assert(First.Upstream != Second.Upstream);
  leave(Simulation, First);
  auto Commands = Simulation.fail(Second, attempt_failure::Refused);
  auto Later = Simulation.advanceTime(forwarding_simulation::Wait);
  Commands.insert(Commands.end(), Later.begin(), Later.end());
  for (const send_attempt &Attempt : attemptsIn(Commands))
    cr_assert(Attempt.Upstream != First.Upstream);
}

Test(pausing_upstream, gets_no_attempt_before_the_time_that_it_named) {
  forwarding_simulation Simulation(1, 2);
  auto Attempt = attemptsIn(Simulation.submit(1, "whole"))[0];
  auto Retry = attemptsIn(refuse(Simulation, Attempt, milliseconds(2500)));
  cr_assert(Retry.size() == 1 && Retry[0].Upstream != Attempt.Upstream);
  Simulation.answer(Retry[0]);
  cr_assert(not reaches(Simulation, Attempt.Upstream, 100));
  Simulation.Clock.advance(milliseconds(2400));
  cr_assert(not reaches(Simulation, Attempt.Upstream, 200));
  Simulation.Clock.advance(seconds(20));
  cr_assert(reaches(Simulation, Attempt.Upstream, 300));
}

Test(pausing_upstream, that_is_the_only_one_names_the_time_to_the_caller) {
  forwarding_simulation Simulation(1, 1);
  auto Attempt = attemptsIn(Simulation.submit(1, "whole"))[0];
  const auto Commands = refuse(Simulation, Attempt, milliseconds(2500));
  const auto *First = outcomeIn<not_run>(Commands);
  cr_assert(First && First->RetryAfter == milliseconds(2500));
  Simulation.Clock.advance(milliseconds(1000));
  const auto Later = Simulation.submit(2, "whole");
  const auto *Second = outcomeIn<not_run>(Later);
  cr_assert(Second && Second->RetryAfter == milliseconds(1500));
}

// Requests that waited for the end of a pause must not come all at once.
Test(pausing_upstream, is_not_rushed_when_the_pause_ends) {
  forwarding_simulation Simulation(1, 1);
  auto Attempt = attemptsIn(Simulation.submit(1, "whole"))[0];
  refuse(Simulation, Attempt, milliseconds(60));
  for (query_ticket Ticket = 2; Ticket < 40; ++Ticket)
    cr_assert(attemptsIn(Simulation.submit(Ticket, "whole")).empty());
  auto Commands = Simulation.advanceTime(milliseconds(75));
  std::size_t Sent = attemptsIn(Commands).size();
  cr_assert(Sent >= 1 && Sent <= 2, "%zu", Sent);
}

Test(pausing_upstream, is_believed_for_a_minute_at_most) {
  forwarding_simulation Simulation(1, 1);
  auto Attempt = attemptsIn(Simulation.submit(1, "whole"))[0];
  refuse(Simulation, Attempt, std::chrono::hours(24));
  Simulation.Clock.advance(seconds(90));
  cr_assert(reaches(Simulation, Attempt.Upstream, 100));
}

// Whatever upstreams say, and whenever: no attempt goes to a process that has
// said it leaves, nor to one within the pause that it asked for.
Test(upstream_status, is_kept_to_under_generated_schedules) {
  rc::check([] {
    forwarding_simulation Simulation(3, 3);
    std::set<std::string> Left;
    std::map<std::string, time_point> Paused;
    std::vector<send_attempt> Open;
    auto Take = [&](const std::vector<engine_command> &Commands) {
      for (const send_attempt &Attempt : attemptsIn(Commands)) {
        RC_ASSERT(Left.count(Attempt.Process) == 0);
        RC_ASSERT(Paused[Attempt.Process] <= Simulation.Clock.now());
        Open.push_back(Attempt);
      }
    };
    query_ticket Ticket = 0;
    int Steps = *rc::gen::inRange(20, 200);
    for (int I = 0; I < Steps; ++I) {
      int Step = *rc::gen::inRange(0, 8);
      if (Step <= 2)
        Take(Simulation.submit(++Ticket, Step == 0 ? "merged" : "whole"));
      else if (Step == 3)
        Take(Simulation.advanceTime(milliseconds(*rc::gen::inRange(1, 300))));
      else if (Step == 4) {
        upstream_entry &Entry =
            Simulation
                .Upstreams[static_cast<std::size_t>(*rc::gen::inRange<int>(
                    0, static_cast<int>(Simulation.Upstreams.size())))];
        Entry.Started += milliseconds(1);
        Simulation.publish();
      }
      if (Step <= 4 || Open.empty())
        continue;
      auto At = static_cast<std::size_t>(
          *rc::gen::inRange<int>(0, static_cast<int>(Open.size())));
      send_attempt Attempt = Open[At];
      Open.erase(Open.begin() + static_cast<std::ptrdiff_t>(At));
      if (Step == 5)
        Take(Simulation.answer(Attempt));
      if (Step == 6) {
        Left.insert(Attempt.Process);
        leave(Simulation, Attempt);
        Take(Simulation.answer(Attempt));
      }
      if (Step == 7) {
        milliseconds Pause(*rc::gen::inRange(0, 5000));
        time_point &Until = Paused[Attempt.Process];
        Until = std::max(Until, Simulation.Clock.now() + Pause);
        Take(refuse(Simulation, Attempt, Pause));
      }
    }
  });
}
