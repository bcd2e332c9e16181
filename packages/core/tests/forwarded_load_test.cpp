/// \file
/// What forwarded requests cost their upstreams, under loads seen in service.

#include "draws.h"
#include "forwarding_world.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>

using namespace masticproxy;
using std::chrono::milliseconds;

namespace {

/// Share of the requests for a shard that may reach it once more.
constexpr double ExtraShare = 0.2;

/// Attempts that one VM may send to a shard beyond that share in a window.
constexpr double ExtraSlack = 3;

/// Span of time in which the attempts beyond the first are counted.
constexpr std::chrono::seconds ExtraWindow{10};

/// When requests came for a shard, and when it was sent one of them again.
struct shard_load {
  std::map<query_ticket, time_point> Requests;
  std::map<attempt_id, time_point> Extra;
  /// The newest request that was sent to it.
  query_ticket Newest = 0;
};

template <typename Key>
double countUntil(const std::map<Key, time_point> &Moments, time_point End) {
  time_point Begin = End - ExtraWindow;
  return static_cast<double>(
      std::count_if(Moments.begin(), Moments.end(), [&](const auto &Moment) {
        return Begin < Moment.second && Moment.second <= End;
      }));
}

/// Whether each window that ends with a further attempt keeps to the share.
bool keepsExtraShare(const shard_load &Load) {
  return std::all_of(Load.Extra.begin(), Load.Extra.end(),
                     [&Load](const auto &Last) {
                       double Requests = countUntil(Load.Requests, Last.second);
                       double Extra = countUntil(Load.Extra, Last.second);
                       return Extra <= ExtraShare * Requests + ExtraSlack;
                     });
}

/// Runs requests one after the other against upstreams that behave as drawn,
/// and counts what reaches each shard.
class load_schedule {
public:
  explicit load_schedule(forwarding_world &World) : World(World) {}

  void request() {
    ++Ticket;
    for (const char *Shard : {"s0", "s1"})
      Loads[Shard].Requests.emplace(Ticket, World.Clock.now());
    std::vector<engine_command> Commands = World.arrive(Ticket);
    take(Commands);
    for (int Step = 0; Step < 60 && World.Engine.running() > 0; ++Step) {
      take(World.pass(milliseconds(2)));
      std::vector<send_attempt> Now = std::exchange(Open, {});
      for (const send_attempt &Attempt : Now)
        endOrKeep(Attempt);
    }
    take(World.Engine.handle(caller_left{Ticket}));
    for (const send_attempt &Attempt : std::exchange(Open, {}))
      World.fail(Attempt, attempt_failure::Unknown);
  }

  /// Share of attempts that fail, of those that are refused, in percent.
  int Failing = 0;
  int Refusing = 0;
  int Silent = 0;
  int Unsent = 0;
  std::map<std::string, shard_load> Loads;

private:
  void take(const std::vector<engine_command> &Commands) {
    for (const send_attempt &Attempt : attemptsIn(Commands)) {
      shard_load &Load = Loads[Attempt.Shard];
      if (std::exchange(Load.Newest, Ticket) == Ticket)
        Load.Extra.emplace(Attempt.Attempt, World.Clock.now());
      Open.push_back(Attempt);
    }
  }

  void endOrKeep(const send_attempt &Attempt) {
    int Draw = draw(0, 100);
    if (Draw < Failing)
      return take(World.fail(Attempt, attempt_failure::Unknown));
    if (Draw < Failing + Refusing)
      return take(World.fail(Attempt, attempt_failure::Refused));
    if (Draw < Failing + Refusing + Silent)
      return Open.push_back(Attempt);
    if (Draw < Failing + Refusing + Silent + Unsent) {
      // It reached nobody; where it was the first one, the next is.
      shard_load &Load = Loads[Attempt.Shard];
      if (Load.Extra.erase(Attempt.Attempt) == 0)
        Load.Newest = 0;
      return take(World.fail(Attempt, attempt_failure::NotSent));
    }
    take(World.answer(Attempt));
  }

  forwarding_world &World;
  query_ticket Ticket = 0;
  std::vector<send_attempt> Open;
};

/// Whether each shard stays within its extra share, whatever its upstreams do.
bool staysWithinExtraShare(const engine_limits &Limits) {
  return rc::check([&] {
    forwarding_world World(2, /*Replicas=*/3, /*Coverage=*/0.75, Limits);
    load_schedule Schedule(World);
    for (int Phase = 0; Phase < 3; ++Phase) {
      Schedule.Failing = draw(0, 100);
      Schedule.Refusing = draw(0, 100 - Schedule.Failing);
      Schedule.Silent = draw(0, 100 - Schedule.Failing - Schedule.Refusing);
      Schedule.Unsent =
          draw(0, 100 - Schedule.Failing - Schedule.Refusing - Schedule.Silent);
      for (int I = 0; I < 30; ++I)
        Schedule.request();
    }
    for (const auto &[Shard, Load] : Schedule.Loads)
      RC_ASSERT(keepsExtraShare(Load));
  });
}

} // namespace

// Upstreams that fail, refuse or keep silent, also all of a shard at once.
Test(forwarded_load, keeps_each_shard_within_its_extra_share) {
  cr_assert(staysWithinExtraShare(forwarding_world::limits()));
}

Test(forwarded_load, the_property_catches_a_budget_that_saves_too_much) {
  engine_limits Generous = forwarding_world::limits();
  Generous.Tuning.PerShard.Base = 20;
  cr_assert_not(staysWithinExtraShare(Generous));
}

// Refused connections of a crashed server: what never left is no extra load.
Test(forwarded_load, pays_nothing_for_what_never_left) {
  forwarding_world World(1);
  for (query_ticket Ticket = 1; Ticket <= 50; ++Ticket) {
    auto First = attemptsIn(World.arrive(Ticket));
    auto Second = attemptsIn(World.fail(First[0], attempt_failure::NotSent));
    cr_assert(Second.size() == 1, "request %d", static_cast<int>(Ticket));
    cr_assert(Second[0].Kind == attempt_kind::First);
    World.answer(Second[0]);
  }
}

// All upstreams of a shard refuse or can't be connected to, in turns.
Test(forwarded_load, pays_for_what_arrives_after_a_refusal) {
  forwarding_world World(1);
  int Free = 0;
  for (query_ticket Ticket = 1; Ticket <= 50; ++Ticket) {
    auto Open = attemptsIn(World.arrive(Ticket));
    for (int Turn = 0; Turn < 10 && !Open.empty(); ++Turn) {
      Free += Turn > 0 && Open[0].Kind == attempt_kind::First ? 1 : 0;
      auto Failure =
          Turn % 2 == 0 ? attempt_failure::Refused : attempt_failure::NotSent;
      Open = attemptsIn(World.fail(Open[0], Failure));
      if (Open.empty())
        Open = attemptsIn(World.pass(milliseconds(30)));
    }
    World.Engine.handle(caller_left{Ticket});
  }
  cr_assert(Free == 0, "%d", Free);
}

// Upstreams are replaced and their addresses go to another shard: each attempt
// there is extra load for that shard.
Test(forwarded_load, asks_no_second_time_where_the_address_was_taken_over) {
  forwarding_world World(1, 2);
  int Misdirected = 0;
  for (query_ticket Ticket = 1; Ticket <= 50; ++Ticket) {
    auto Open = attemptsIn(World.arrive(Ticket));
    for (int Turn = 0; Turn < 4 && !Open.empty(); ++Turn) {
      bool Taken = Open[0].Instance == "s0-0";
      Misdirected += Taken ? 1 : 0;
      Open =
          attemptsIn(Taken ? World.fail(Open[0], attempt_failure::Misdirected)
                           : World.answer(Open[0]));
    }
    World.Engine.handle(caller_left{Ticket});
  }
  cr_assert(Misdirected == 1, "%d", Misdirected);
}

// An address that another upstream took over starts with a clean record.
Test(forwarded_load, forgets_the_failures_of_an_address_that_was_taken_over) {
  forwarding_world World(1, 2);
  for (query_ticket Ticket = 1; Ticket <= 6; ++Ticket) {
    auto Attempts = attemptsIn(World.arrive(Ticket));
    while (!Attempts.empty() && Attempts[0].Upstream == "s0-0")
      Attempts = attemptsIn(World.fail(Attempts[0], attempt_failure::NotSent));
    if (!Attempts.empty())
      World.answer(Attempts[0]);
  }
  World.Upstreams[0].Instance = "another";
  World.publish();
  bool Used = false;
  for (query_ticket Ticket = 10; Ticket <= 40; ++Ticket) {
    auto Attempts = attemptsIn(World.arrive(Ticket));
    Used = Used || Attempts[0].Instance == "another";
    World.answer(Attempts[0]);
  }
  cr_assert(Used);
}

namespace {

/// \returns how many urgent requests get the first places that become free
/// while less urgent ones wait for longer; as many as there are places.
int urgentServedFirst(forwarding_world &World) {
  constexpr query_ticket Places = 9;
  std::vector<send_attempt> Open;
  for (query_ticket Ticket = 1; Ticket <= 3 * Places; ++Ticket)
    for (const send_attempt &Sent : attemptsIn(World.arrive(Ticket, "whole")))
      Open.push_back(Sent);
  for (query_ticket Ticket = 101; Ticket <= 100 + Places; ++Ticket)
    World.arrive(Ticket, "urgent");
  int Urgent = 0;
  for (const send_attempt &Attempt : Open)
    for (const send_attempt &Next : attemptsIn(World.answer(Attempt)))
      Urgent += Next.Forwarded->Target.starts_with("/urgent/") ? 1 : 0;
  return Urgent;
}

} // namespace

// More requests than places, of an urgent profile and a less urgent one.
Test(forwarded_load, lets_the_urgent_ones_go_first_under_overload) {
  forwarding_world World(1);
  cr_assert(urgentServedFirst(World) == 9);
}

Test(forwarded_load, an_order_without_ranks_is_caught) {
  forwarding_world World(1);
  for (profile &Profile : World.Configuration.Profiles)
    Profile.Priority = 0;
  ++World.Configuration.Version;
  World.publish();
  int Urgent = urgentServedFirst(World);
  cr_assert(Urgent < 9, "%d", Urgent);
}
