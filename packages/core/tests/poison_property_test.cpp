/// \file
/// Generated schedules over several VMs, with one query that crashes every
/// upstream that runs it. Few upstreams may die, and a query that was in flight
/// at one death by coincidence must not be condemned. The injected faults check
/// that the property detects wrong implementations.

#include "manual_clock.h"
#include "masticproxy/Poison"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>

using namespace masticproxy;
using std::chrono::milliseconds;

namespace {

/// Faults that can be injected into the simulated VMs.
enum class injected_fault {
  None,
  DropsNotices,
  CountsConcurrentDeaths,
  SkipsProbe
};

constexpr unsigned Shards = 6;
constexpr unsigned Replicas = 3;
constexpr unsigned VmCount = 4;
constexpr unsigned Sends = 20;
constexpr unsigned MaxDeaths = 3;
constexpr query_fingerprint Poison = 1;
constexpr query_fingerprint Innocent = 2;

struct attempt {
  unsigned Vm = 0;
  query_fingerprint Query = 0;
  unsigned Shard = 0;
  std::string Upstream;
};

class simulation {
public:
  simulation(injected_fault Fault, unsigned Seed) : Fault(Fault), Random(Seed) {
    for (unsigned I = 0; I < VmCount; ++I)
      Guards.push_back(std::make_unique<poison_guard>(
          Clock, Fault != injected_fault::SkipsProbe));
  }

  /// Sends the poison query repeatedly, each time through a random VM. At the
  /// first death two attempts of an innocent query are in flight too.
  void run() {
    for (unsigned I = 0; I < Sends; ++I)
      send(Random() % VmCount, Poison);
  }

  unsigned Deaths = 0;
  bool CondemnedInnocent = false;

private:
  void send(unsigned Vm, query_fingerprint Query) {
    for (unsigned Shard = 0; Shard < Shards; ++Shard)
      start(Vm, Query, Shard);
    while (!Open.empty())
      endRandomAttempt();
    deliver();
  }

  void start(unsigned Vm, query_fingerprint Query, unsigned Shard) {
    std::string Upstream =
        std::to_string(Shard) + "/" + std::to_string(Random() % Replicas);
    if (!Guards[Vm]->mayStart(Query, Upstream))
      return;
    std::uint64_t Id = NextAttempt++;
    Guards[Vm]->started(Id, Query, Upstream, std::to_string(Shard));
    Open[Id] = {Vm, Query, Shard, Upstream};
  }

  void endRandomAttempt() {
    Clock.advance(milliseconds(1));
    auto Position = std::next(
        Open.begin(), static_cast<std::ptrdiff_t>(Random() % Open.size()));
    auto [Id, Ended] = *Position;
    if (Ended.Query == Poison)
      return killUpstream(Ended.Upstream);
    Open.erase(Position);
    Guards[Ended.Vm]->answered(Id);
  }

  void killUpstream(const std::string &Upstream) {
    ++Deaths;
    // The innocent query is in flight on several upstreams, but at the first
    // death only: concurrent deaths count as a single coincidence.
    if (Deaths == 1)
      startInnocents();
    for (auto Next = Open.begin(); Next != Open.end();) {
      auto Position = Next++;
      if (Position->second.Upstream == Upstream)
        failAttempt(Position);
    }
    for (auto Next = Open.begin(); Deaths == 1 && Next != Open.end();) {
      auto Position = Next++;
      if (Position->second.Query == Innocent)
        failAttempt(Position);
    }
  }

  void startInnocents() {
    unsigned Vm = Random() % VmCount;
    Guards[Vm]->started(NextAttempt, Innocent, "0/0", "0");
    Open[NextAttempt++] = {Vm, Innocent, 0, "0/0"};
    Guards[Vm]->started(NextAttempt, Innocent, "1/0", "1");
    Open[NextAttempt++] = {Vm, Innocent, 1, "1/0"};
  }

  void failAttempt(std::map<std::uint64_t, attempt>::iterator Position) {
    auto [Id, Lost] = *Position;
    Open.erase(Position);
    if (Fault == injected_fault::CountsConcurrentDeaths) {
      // Makes the attempt start after the last death that is on record.
      Guards[Lost.Vm]->ended(Id);
      Clock.advance(milliseconds(1));
      Guards[Lost.Vm]->started(Id, Lost.Query, Lost.Upstream,
                               std::to_string(Lost.Shard));
    }
    std::optional<poison_notice> Notice = Guards[Lost.Vm]->upstreamDied(Id);
    if (Notice && Fault != injected_fault::DropsNotices)
      Notices.push_back(*Notice);
    CondemnedInnocent =
        CondemnedInnocent || Guards[Lost.Vm]->condemned(Innocent);
  }

  /// Delivers notices once or twice and in any order.
  void deliver() {
    std::shuffle(Notices.begin(), Notices.end(), Random);
    for (const poison_notice &Notice : Notices)
      for (const auto &Guard : Guards)
        for (unsigned Times = 1 + Random() % 2; Times > 0; --Times)
          Guard->onNotice(Notice);
    Notices.clear();
  }

  const injected_fault Fault;
  std::mt19937 Random;
  manual_clock Clock;
  std::vector<std::unique_ptr<poison_guard>> Guards;
  std::map<std::uint64_t, attempt> Open;
  std::vector<poison_notice> Notices;
  std::uint64_t NextAttempt = 1;
};

bool holds(injected_fault Fault) {
  return rc::check([Fault] {
    auto Seed = *rc::gen::noShrink(
        rc::gen::resize(100, rc::gen::inRange(0U, 1U << 30U)));
    simulation Simulation(Fault, Seed);
    Simulation.run();
    RC_ASSERT(Simulation.Deaths >= 2U);
    RC_ASSERT(Simulation.Deaths <= MaxDeaths);
    RC_ASSERT_FALSE(Simulation.CondemnedInnocent);
  });
}

} // namespace

Test(poison, few_upstreams_die_and_no_innocent_query_is_condemned) {
  cr_assert(holds(injected_fault::None));
}

Test(poison, detects_dropped_notices) {
  cr_assert_not(holds(injected_fault::DropsNotices));
}

Test(poison, detects_concurrent_deaths_counted_as_rounds) {
  cr_assert_not(holds(injected_fault::CountsConcurrentDeaths));
}

Test(poison, detects_an_unproven_query_sent_to_all_shards) {
  cr_assert_not(holds(injected_fault::SkipsProbe));
}

Test(poison, a_condemned_query_becomes_suspect_and_then_clear) {
  manual_clock Clock;
  poison_register Register(Clock, {});
  Register.onNotice({Poison, 2, "0", milliseconds(0)});
  cr_assert(Register.stateOf(Poison) == poison_state::Condemned);
  Clock.advance(poison_timing{}.CondemnFor);
  cr_assert(Register.stateOf(Poison) == poison_state::Suspect);
  Clock.advance(poison_timing{}.SuspectFor);
  cr_assert(Register.stateOf(Poison) == poison_state::Clear);
}

Test(poison, an_answer_from_the_shard_of_the_death_ends_the_suspicion) {
  manual_clock Clock;
  poison_register Register(Clock, {});
  upstream_attempt Attempt;
  Attempt.Fingerprint = Innocent;
  Attempt.Shard = "0";
  Attempt.Started = Attempt.Ended = Clock.now();
  Register.upstreamDied(Attempt, death_evidence::Query);
  Register.shardAnswered(Innocent, "1");
  cr_assert(Register.stateOf(Innocent) == poison_state::Suspect);
  Register.shardAnswered(Innocent, "0");
  cr_assert(Register.stateOf(Innocent) == poison_state::Clear);
}
