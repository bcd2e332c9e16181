/// \file
/// What must always hold of the query engine, over generated requests,
/// answers, failures and times.

#include "draws.h"
#include "engine_audit.h"
#include "manual_clock.h"
#include "masticproxy/Query"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <functional>

using namespace masticproxy;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds Wait{200};
constexpr milliseconds Usual{5};
constexpr int WarmUpQueries = 40;

/// Changes an engine's commands, to break it in one respect.
using tampering = std::function<void(std::vector<engine_command> &)>;

std::shared_ptr<const query_catalogue> makeCatalogue() {
  auto Map = std::make_shared<index_snapshot>();
  Map->Id = "s1";
  Map->Shards = {
      {"0", {{"a", "dc1", 1, 9}, {"b", "dc1", 1, 9}, {"c", "dc1", 1, 9}}},
      {"1", {{"d", "dc1", 1, 9}, {"e", "dc1", 1, 9}, {"f", "dc1", 1, 9}}}};
  auto Catalogue = std::make_shared<query_catalogue>();
  Catalogue->setProfile({"once", Wait, 1.0, /*MayRepeat=*/false});
  Catalogue->setProfile({"often", Wait, 0.5, /*MayRepeat=*/true});
  Catalogue->setIndex({"i", Map});
  return Catalogue;
}

/// An engine, the upstreams' doings and the audit of both.
class engine_run {
public:
  engine_run(policy_name Policy, tampering Tamper)
      : Engine(Clock, {16, "dc1", Policy}), Tamper(std::move(Tamper)) {
    handle(catalogue_changed{makeCatalogue()});
  }

  void arrive(bool MayRepeat) {
    std::string Request = "0000003600000-r" + std::to_string(++Tickets);
    Audit.arrived(Request, MayRepeat);
    handle(query_arrived{Tickets, Request, MayRepeat ? "often" : "once", "i",
                         "{}"});
  }

  void answer(std::size_t Position) {
    send_attempt Ended = Audit.end(Position, /*Ran=*/true);
    handle(attempt_answered{
        Ended.Attempt, {Ended.RequestId, Ended.Snapshot, Ended.Shard, "body"}});
  }

  void fail(std::size_t Position, attempt_failure Failure) {
    send_attempt Ended =
        Audit.end(Position, Failure == attempt_failure::Unknown);
    if (Failure == attempt_failure::Draining) {
      Audit.draining(Ended.Upstream);
      ++Drains;
    }
    handle(attempt_failed{Ended.Attempt, Failure});
  }

  void pass(milliseconds Span) {
    Clock.advance(Span);
    handle(timer_fired{});
  }

  /// Lets the engine learn the usual latency.
  void warmUp() {
    for (int I = 0; I < WarmUpQueries; ++I) {
      arrive(/*MayRepeat=*/true);
      pass(Usual);
      while (open() > 0)
        answer(0);
    }
  }

  void step() {
    int Kind = draw(0, 10);
    std::size_t Position =
        open() == 0
            ? 0
            : static_cast<std::size_t>(draw(0, static_cast<int>(open())));
    if (Kind < 3)
      arrive(/*MayRepeat=*/Kind > 0);
    else if (Kind < 6)
      pass(milliseconds(draw(0, 30)));
    else if (open() > 0 && Kind < 8)
      answer(Position);
    else if (Kind == 8)
      failAll(draw(0, 20));
    else if (open() > 0)
      fail(Position, *rc::gen::element(
                         attempt_failure::NotSent, attempt_failure::Refused,
                         attempt_failure::Refused, attempt_failure::Draining,
                         attempt_failure::Unknown));
  }

  /// Every attempt of a time is refused, as under overload.
  void failAll(int Attempts) {
    for (; Attempts > 0 && open() > 0; --Attempts) {
      fail(0, attempt_failure::Refused);
      pass(milliseconds(1));
    }
  }

  std::size_t open() const { return Audit.open(); }
  unsigned drains() const { return Drains; }
  const engine_audit &audit() const { return Audit; }

private:
  void handle(engine_event Event) {
    std::vector<engine_command> Commands = Engine.handle(std::move(Event));
    if (Tamper)
      Tamper(Commands);
    Audit.check(Commands);
    for (const claim_wanted &Wanted : Audit.takeClaims())
      handle(claim_decision{Wanted.Ticket, Wanted.RequestId, claim_granted{1}});
  }

  manual_clock Clock;
  query_engine Engine;
  tampering Tamper;
  engine_audit Audit{Clock};
  query_ticket Tickets = 0;
  unsigned Drains = 0;
};

bool holds(policy_name Policy, const tampering &Tamper = nullptr) {
  return rc::check([Policy, Tamper] {
    engine_run Run(Policy, Tamper);
    Run.warmUp();
    for (int Left = draw(0, 200); Left > 0; --Left)
      Run.step();
    RC_CLASSIFY(Run.audit().hedges() > 0, "hedged");
    RC_CLASSIFY(Run.drains() > 0, "drained");
    Run.pass(Wait);
    Run.audit().checkAllOver();
  });
}

/// \returns the first command of one type, or null.
template <typename Command>
Command *findCommand(std::vector<engine_command> &Commands) {
  for (engine_command &One : Commands)
    if (auto *Found = std::get_if<Command>(&One))
      return Found;
  return nullptr;
}

} // namespace

Test(query_engine_property, holds_with_the_adaptive_policy) {
  cr_assert(holds(policy_name::Adaptive));
}

Test(query_engine_property, does_hedge) {
  engine_run Run(policy_name::Adaptive, nullptr);
  Run.warmUp();
  Run.arrive(/*MayRepeat=*/true);
  Run.pass(4 * Usual);
  cr_assert(Run.audit().hedges() == 2);
}

Test(query_engine_property, catches_a_second_outcome) {
  cr_assert_not(holds(policy_name::Adaptive, [](auto &Commands) {
    if (auto *Found = findCommand<deliver_outcome>(Commands))
      Commands.push_back(deliver_outcome(*Found));
  }));
}

Test(query_engine_property, catches_a_lost_outcome) {
  cr_assert_not(holds(policy_name::Adaptive, [](auto &Commands) {
    std::erase_if(Commands, [](const engine_command &Command) {
      auto *Found = std::get_if<deliver_outcome>(&Command);
      return Found && std::holds_alternative<too_late>(Found->Outcome);
    });
  }));
}

Test(query_engine_property, catches_an_attempt_after_the_outcome) {
  auto Last = std::make_shared<send_attempt>();
  cr_assert_not(holds(policy_name::Adaptive, [Last](auto &Commands) {
    if (auto *Found = findCommand<send_attempt>(Commands))
      *Last = *Found;
    auto *Over = findCommand<deliver_outcome>(Commands);
    if (Over && Over->RequestId == Last->RequestId)
      Commands.push_back(send_attempt(*Last));
  }));
}

Test(query_engine_property, catches_a_hedge_of_a_non_idempotent_request) {
  cr_assert_not(holds(policy_name::Adaptive, [](auto &Commands) {
    auto *Found = findCommand<send_attempt>(Commands);
    if (!Found || Found->Kind != attempt_kind::Retry)
      return;
    send_attempt Second = *Found;
    Second.Kind = attempt_kind::Hedge;
    Commands.push_back(Second);
  }));
}

Test(query_engine_property, catches_work_for_a_draining_upstream) {
  cr_assert_not(holds(policy_name::Adaptive, [](auto &Commands) {
    if (auto *Found = findCommand<send_attempt>(Commands))
      Found->Upstream = "a";
  }));
}

Test(query_engine_property, catches_a_policy_without_a_budget) {
  cr_assert_not(holds(policy_name::Naive));
}
