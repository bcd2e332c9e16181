/// \file
/// Tests of the load that forwarded requests put on their upstreams, under
/// loads that occur in production.

#include "draws.h"
#include "forwarding_simulation.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>

using namespace masticproxy;
using std::chrono::milliseconds;

namespace {

/// Limit of the extra attempts that reach a shard, as a share of the requests
/// for it.
constexpr double ExtraShare = 0.2;

/// Extra attempts that one VM may send to a shard beyond that share in a
/// window.
constexpr double ExtraSlack = 3;

/// Window over which the attempts after the first one are counted.
constexpr std::chrono::seconds ExtraWindow{10};

/// Arrival times of the requests for a shard, and the times at which an extra
/// attempt was sent to it.
struct shard_load {
  std::map<query_ticket, time_point> Requests;
  std::map<attempt_id, time_point> Extra;
  /// The newest request of which an attempt was sent to the shard.
  query_ticket Newest = 0;
};

template <typename Key>
double countUntil(const std::map<Key, time_point> &Times, time_point End) {
  time_point Begin = End - ExtraWindow;
  return static_cast<double>(
      std::count_if(Times.begin(), Times.end(), [&](const auto &Entry) {
        return Begin < Entry.second && Entry.second <= End;
      }));
}

/// Returns whether the extra attempts stay within the share in each window that
/// ends with an extra attempt.
bool keepsExtraShare(const shard_load &Load) {
  return std::all_of(Load.Extra.begin(), Load.Extra.end(),
                     [&Load](const auto &Last) {
                       double Requests = countUntil(Load.Requests, Last.second);
                       double Extra = countUntil(Load.Extra, Last.second);
                       return Extra <= ExtraShare * Requests + ExtraSlack;
                     });
}

/// Runs requests one after the other against upstreams with randomly drawn
/// behaviour, and records the attempts that reach each shard.
class load_schedule {
public:
  explicit load_schedule(forwarding_simulation &Simulation)
      : Simulation(Simulation) {}

  void request() {
    ++Ticket;
    for (const char *Shard : {"s0", "s1"})
      Loads[Shard].Requests.emplace(Ticket, Simulation.Clock.now());
    std::vector<engine_command> Commands = Simulation.submit(Ticket);
    recordAttempts(Commands);
    for (int Step = 0; Step < 60 && Simulation.Engine.running() > 0; ++Step) {
      recordAttempts(Simulation.advanceTime(milliseconds(2)));
      std::vector<send_attempt> Pending = std::exchange(Open, {});
      for (const send_attempt &Attempt : Pending)
        resolveOrKeep(Attempt);
    }
    recordAttempts(Simulation.Engine.handle(caller_left{Ticket}));
    for (const send_attempt &Attempt : std::exchange(Open, {}))
      Simulation.fail(Attempt, attempt_failure::Unknown);
  }

  /// Percentage of attempts that fail, are refused, get no response and can't
  /// be sent. The others are answered.
  int Failing = 0;
  int Refusing = 0;
  int Unresponsive = 0;
  int Unsent = 0;
  std::map<std::string, shard_load> Loads;

private:
  void recordAttempts(const std::vector<engine_command> &Commands) {
    for (const send_attempt &Attempt : attemptsIn(Commands)) {
      shard_load &Load = Loads[Attempt.Shard];
      if (std::exchange(Load.Newest, Ticket) == Ticket)
        Load.Extra.emplace(Attempt.Attempt, Simulation.Clock.now());
      Open.push_back(Attempt);
    }
  }

  void resolveOrKeep(const send_attempt &Attempt) {
    int Draw = draw(0, 100);
    if (Draw < Failing)
      return recordAttempts(Simulation.fail(Attempt, attempt_failure::Unknown));
    if (Draw < Failing + Refusing)
      return recordAttempts(Simulation.fail(Attempt, attempt_failure::Refused));
    if (Draw < Failing + Refusing + Unresponsive)
      return Open.push_back(Attempt);
    if (Draw < Failing + Refusing + Unresponsive + Unsent) {
      // The attempt reached no upstream. If it was the first one, the next
      // attempt counts as the first.
      shard_load &Load = Loads[Attempt.Shard];
      if (Load.Extra.erase(Attempt.Attempt) == 0)
        Load.Newest = 0;
      return recordAttempts(Simulation.fail(Attempt, attempt_failure::NotSent));
    }
    recordAttempts(Simulation.answer(Attempt));
  }

  forwarding_simulation &Simulation;
  query_ticket Ticket = 0;
  std::vector<send_attempt> Open;
};

/// Checks that the extra attempts at each shard stay within the share, whatever
/// its upstreams do.
bool staysWithinExtraShare(const engine_limits &Limits) {
  return rc::check([&] {
    forwarding_simulation Simulation(2, /*Replicas=*/3, /*Coverage=*/0.75,
                                     Limits);
    load_schedule Schedule(Simulation);
    for (int Phase = 0; Phase < 3; ++Phase) {
      Schedule.Failing = draw(0, 100);
      Schedule.Refusing = draw(0, 100 - Schedule.Failing);
      Schedule.Unresponsive =
          draw(0, 100 - Schedule.Failing - Schedule.Refusing);
      Schedule.Unsent = draw(0, 100 - Schedule.Failing - Schedule.Refusing -
                                    Schedule.Unresponsive);
      for (int I = 0; I < 30; ++I)
        Schedule.request();
    }
    for (const auto &[Shard, Load] : Schedule.Loads)
      RC_ASSERT(keepsExtraShare(Load));
  });
}

} // namespace

// Upstreams fail, refuse or don't respond, also all of a shard at once.
Test(forwarded_load, keeps_each_shard_within_its_extra_share) {
  cr_assert(staysWithinExtraShare(forwarding_simulation::limits()));
}

// A budget whose base allows 20 extra attempts.
Test(forwarded_load, detects_a_budget_that_saves_too_much) {
  engine_limits Generous = forwarding_simulation::limits();
  Generous.Tuning.PerShard.Base = 20;
  cr_assert_not(staysWithinExtraShare(Generous));
}

// A crashed server refuses connections. An attempt that was never sent puts no
// load on an upstream, so it must not use the budget.
Test(forwarded_load, attempts_that_were_not_sent_use_no_budget) {
  forwarding_simulation Simulation(1);
  for (query_ticket Ticket = 1; Ticket <= 50; ++Ticket) {
    auto First = attemptsIn(Simulation.submit(Ticket));
    auto Second =
        attemptsIn(Simulation.fail(First[0], attempt_failure::NotSent));
    cr_assert(Second.size() == 1, "request %d", static_cast<int>(Ticket));
    cr_assert(Second[0].Kind == attempt_kind::First);
    Simulation.answer(Second[0]);
  }
}

// The upstreams of a shard alternately refuse and can't be connected to. A
// refused attempt did reach its upstream, so the next one uses the budget.
Test(forwarded_load, attempts_after_a_refusal_use_the_budget) {
  forwarding_simulation Simulation(1);
  int Uncharged = 0;
  for (query_ticket Ticket = 1; Ticket <= 50; ++Ticket) {
    auto Open = attemptsIn(Simulation.submit(Ticket));
    for (int Turn = 0; Turn < 10 && !Open.empty(); ++Turn) {
      Uncharged += Turn > 0 && Open[0].Kind == attempt_kind::First ? 1 : 0;
      auto Failure =
          Turn % 2 == 0 ? attempt_failure::Refused : attempt_failure::NotSent;
      Open = attemptsIn(Simulation.fail(Open[0], Failure));
      if (Open.empty())
        Open = attemptsIn(Simulation.advanceTime(milliseconds(30)));
    }
    Simulation.Engine.handle(caller_left{Ticket});
  }
  cr_assert(Uncharged == 0, "%d", Uncharged);
}

// An upstream is replaced and its address is reassigned to another shard. Each
// attempt at that address is extra load for the other shard.
Test(forwarded_load, sends_no_second_attempt_to_a_reassigned_address) {
  forwarding_simulation Simulation(1, 2);
  int Misdirected = 0;
  for (query_ticket Ticket = 1; Ticket <= 50; ++Ticket) {
    auto Open = attemptsIn(Simulation.submit(Ticket));
    for (int Turn = 0; Turn < 4 && !Open.empty(); ++Turn) {
      bool Reassigned = Open[0].Instance == "s0-0";
      Misdirected += Reassigned ? 1 : 0;
      Open = attemptsIn(
          Reassigned ? Simulation.fail(Open[0], attempt_failure::Misdirected)
                     : Simulation.answer(Open[0]));
    }
    Simulation.Engine.handle(caller_left{Ticket});
  }
  cr_assert(Misdirected == 1, "%d", Misdirected);
}

// An upstream starts again under its identity, after its address had gone to
// another shard for a while: it is used again.
Test(forwarded_load, uses_an_upstream_again_that_starts_under_its_identity) {
  forwarding_simulation Simulation(1, 1);
  auto Open = attemptsIn(Simulation.submit(1));
  Simulation.fail(Open[0], attempt_failure::Misdirected);
  cr_assert(attemptsIn(Simulation.submit(2)).empty());
  Simulation.Upstreams[0].Started = milliseconds(1);
  Simulation.publish();
  Open = attemptsIn(Simulation.submit(3));
  cr_assert(Open.size() == 1);
  Simulation.answer(Open[0]);
}

// Where starts can't be told apart, it is asked again after a while.
Test(forwarded_load, asks_an_upstream_again_some_time_after_a_misdirection) {
  forwarding_simulation Simulation(1, 1);
  auto Open = attemptsIn(Simulation.submit(1));
  Simulation.fail(Open[0], attempt_failure::Misdirected);
  Simulation.Clock.advance(std::chrono::seconds(31));
  cr_assert(attemptsIn(Simulation.submit(2)).size() == 1);
}

// An upstream that reuses the address of another one must not inherit its
// failures.
Test(forwarded_load, forgets_the_failures_of_a_reassigned_address) {
  forwarding_simulation Simulation(1, 2);
  for (query_ticket Ticket = 1; Ticket <= 6; ++Ticket) {
    auto Attempts = attemptsIn(Simulation.submit(Ticket));
    while (!Attempts.empty() && Attempts[0].Upstream == "s0-0")
      Attempts =
          attemptsIn(Simulation.fail(Attempts[0], attempt_failure::NotSent));
    if (!Attempts.empty())
      Simulation.answer(Attempts[0]);
  }
  Simulation.Upstreams[0].Instance = "another";
  Simulation.publish();
  bool Used = false;
  for (query_ticket Ticket = 10; Ticket <= 40; ++Ticket) {
    auto Attempts = attemptsIn(Simulation.submit(Ticket));
    Used = Used || Attempts[0].Instance == "another";
    Simulation.answer(Attempts[0]);
  }
  cr_assert(Used);
}

namespace {

/// \returns how many of the first slots that become free are used for urgent
/// requests, while less urgent ones have waited for longer. As many slots
/// become free as there are in all.
int urgentServedFirst(forwarding_simulation &Simulation) {
  constexpr query_ticket UpstreamSlots = 9;
  std::vector<send_attempt> Open;
  for (query_ticket Ticket = 1; Ticket <= 3 * UpstreamSlots; ++Ticket)
    for (const send_attempt &Sent :
         attemptsIn(Simulation.submit(Ticket, "whole")))
      Open.push_back(Sent);
  for (query_ticket Ticket = 101; Ticket <= 100 + UpstreamSlots; ++Ticket)
    Simulation.submit(Ticket, "urgent");
  int Urgent = 0;
  for (const send_attempt &Attempt : Open)
    for (const send_attempt &Next : attemptsIn(Simulation.answer(Attempt)))
      Urgent += Next.Forwarded->Target.starts_with("/urgent/") ? 1 : 0;
  return Urgent;
}

} // namespace

// There are more requests than slots, of an urgent profile and a less urgent
// one.
Test(forwarded_load, serves_urgent_requests_first_under_overload) {
  forwarding_simulation Simulation(1);
  cr_assert(urgentServedFirst(Simulation) == 9);
}

Test(forwarded_load, detects_an_order_without_priorities) {
  forwarding_simulation Simulation(1);
  for (profile &Profile : Simulation.Configuration.Profiles)
    Profile.Priority = 0;
  ++Simulation.Configuration.Version;
  Simulation.publish();
  int Urgent = urgentServedFirst(Simulation);
  cr_assert(Urgent < 9, "%d", Urgent);
}
