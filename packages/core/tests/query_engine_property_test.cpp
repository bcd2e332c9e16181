/// \file
/// Checks the invariants of the query engine over generated requests, answers,
/// failures and delays, and that the audit detects engines that break them.

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
constexpr milliseconds UsualLatency{5};
constexpr int WarmUpQueries = 40;

/// Changes the commands of an engine so that it becomes a mutant, which breaks
/// one invariant.
using mutation = std::function<void(std::vector<engine_command> &)>;

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

/// An engine, simulated upstreams and the audit of both.
class engine_simulation {
public:
  engine_simulation(policy_name Policy, mutation Mutate)
      : Engine(Clock, {16, "dc1", Policy}), Mutate(std::move(Mutate)) {
    handle(catalogue_changed{makeCatalogue()});
  }

  void arrive(bool MayRepeat) {
    std::string Request = "0000003600000-r" + std::to_string(++Tickets);
    Audit.recordArrival(Request, MayRepeat);
    handle(query_arrived{Tickets, Request, MayRepeat ? "often" : "once", "i",
                         "{}"});
  }

  void answer(std::size_t Position) {
    send_attempt Ended = Audit.closeAttempt(Position, /*Ran=*/true);
    handle(attempt_answered{
        Ended.Attempt, {Ended.RequestId, Ended.Snapshot, Ended.Shard, "body"}});
  }

  void fail(std::size_t Position, attempt_failure Failure) {
    send_attempt Ended =
        Audit.closeAttempt(Position, Failure == attempt_failure::Unknown);
    if (Failure == attempt_failure::Draining) {
      Audit.recordDraining(Ended.Upstream);
      ++Drains;
    }
    handle(attempt_failed{Ended.Attempt, Failure});
  }

  void advanceTime(milliseconds Span) {
    Clock.advance(Span);
    handle(timer_fired{});
  }

  /// Runs queries until the engine knows the usual latency.
  void warmUp() {
    for (int I = 0; I < WarmUpQueries; ++I) {
      arrive(/*MayRepeat=*/true);
      advanceTime(UsualLatency);
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
      advanceTime(milliseconds(draw(0, 30)));
    else if (open() > 0 && Kind < 8)
      answer(Position);
    else if (Kind == 8)
      refuseOpenAttempts(draw(0, 20));
    else if (open() > 0)
      fail(Position, *rc::gen::element(
                         attempt_failure::NotSent, attempt_failure::Refused,
                         attempt_failure::Refused, attempt_failure::Draining,
                         attempt_failure::Unknown));
  }

  /// Refuses up to \p Attempts open attempts, one each millisecond, as under
  /// overload.
  void refuseOpenAttempts(int Attempts) {
    for (; Attempts > 0 && open() > 0; --Attempts) {
      fail(0, attempt_failure::Refused);
      advanceTime(milliseconds(1));
    }
  }

  std::size_t open() const { return Audit.open(); }
  unsigned drains() const { return Drains; }
  const engine_audit &audit() const { return Audit; }

private:
  void handle(engine_event Event) {
    std::vector<engine_command> Commands = Engine.handle(std::move(Event));
    if (Mutate)
      Mutate(Commands);
    Audit.check(Commands);
    for (const claim_wanted &Wanted : Audit.takeClaimRequests())
      handle(claim_decision{Wanted.Ticket, Wanted.RequestId, claim_granted{1}});
  }

  manual_clock Clock;
  query_engine Engine;
  mutation Mutate;
  engine_audit Audit{Clock};
  query_ticket Tickets = 0;
  unsigned Drains = 0;
};

bool invariantsHold(policy_name Policy, const mutation &Mutate = nullptr) {
  return rc::check([Policy, Mutate] {
    engine_simulation Run(Policy, Mutate);
    Run.warmUp();
    for (int Left = draw(0, 200); Left > 0; --Left)
      Run.step();
    RC_CLASSIFY(Run.audit().hedges() > 0, "hedged");
    RC_CLASSIFY(Run.drains() > 0, "drained");
    Run.advanceTime(Wait);
    Run.audit().checkEveryRequestEnded();
  });
}

/// \returns the first command of type \p Command, or null.
template <typename Command>
Command *findCommand(std::vector<engine_command> &Commands) {
  for (engine_command &One : Commands)
    if (auto *Found = std::get_if<Command>(&One))
      return Found;
  return nullptr;
}

} // namespace

Test(query_engine_property, invariants_hold_with_the_adaptive_policy) {
  cr_assert(invariantsHold(policy_name::Adaptive));
}

Test(query_engine_property, hedges_each_shard_that_is_late) {
  engine_simulation Run(policy_name::Adaptive, nullptr);
  Run.warmUp();
  Run.arrive(/*MayRepeat=*/true);
  Run.advanceTime(4 * UsualLatency);
  cr_assert(Run.audit().hedges() == 2);
}

Test(query_engine_property, detects_a_second_outcome) {
  cr_assert_not(invariantsHold(policy_name::Adaptive, [](auto &Commands) {
    if (auto *Found = findCommand<deliver_outcome>(Commands))
      Commands.push_back(deliver_outcome(*Found));
  }));
}

Test(query_engine_property, detects_a_lost_outcome) {
  cr_assert_not(invariantsHold(policy_name::Adaptive, [](auto &Commands) {
    std::erase_if(Commands, [](const engine_command &Command) {
      auto *Found = std::get_if<deliver_outcome>(&Command);
      return Found && std::holds_alternative<too_late>(Found->Outcome);
    });
  }));
}

Test(query_engine_property, detects_an_attempt_after_the_outcome) {
  auto Last = std::make_shared<send_attempt>();
  cr_assert_not(invariantsHold(policy_name::Adaptive, [Last](auto &Commands) {
    if (auto *Found = findCommand<send_attempt>(Commands))
      *Last = *Found;
    auto *Over = findCommand<deliver_outcome>(Commands);
    if (Over && Over->RequestId == Last->RequestId)
      Commands.push_back(send_attempt(*Last));
  }));
}

Test(query_engine_property, detects_a_hedge_of_a_non_idempotent_request) {
  cr_assert_not(invariantsHold(policy_name::Adaptive, [](auto &Commands) {
    auto *Found = findCommand<send_attempt>(Commands);
    if (!Found || Found->Kind != attempt_kind::Retry)
      return;
    send_attempt Second = *Found;
    Second.Kind = attempt_kind::Hedge;
    Commands.push_back(Second);
  }));
}

Test(query_engine_property, detects_an_attempt_at_a_draining_upstream) {
  cr_assert_not(invariantsHold(policy_name::Adaptive, [](auto &Commands) {
    if (auto *Found = findCommand<send_attempt>(Commands))
      Found->Upstream = "a";
  }));
}

Test(query_engine_property, detects_a_policy_without_a_budget) {
  cr_assert_not(invariantsHold(policy_name::Naive));
}
