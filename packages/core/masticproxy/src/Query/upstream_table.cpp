#include "masticproxy/src/Query/upstream_table.h"

#include "masticproxy/src/Query/engine_event.h"
#include "masticproxy/src/Query/index_map.h"

#include <algorithm>

using namespace masticproxy;

namespace {

/// Replaced identities that are remembered.
constexpr std::size_t MostReplaced = 4096;

} // namespace

const replica *upstream_table::choose(std::span<const replica> Replicas,
                                      std::span<const std::string> Tried,
                                      time_point Now) {
  std::vector<candidate> Set = candidates(Replicas, Tried, Now);
  return std::visit([&](auto &P) { return P.choose(Set, Now); }, Policy);
}

const replica *upstream_table::chooseHedge(std::span<const replica> Replicas,
                                           std::span<const std::string> Tried,
                                           time_point Now) {
  std::vector<candidate> Set = candidates(Replicas, Tried, Now);
  return std::visit([&](auto &P) { return P.chooseHedge(Set, Now); }, Policy);
}

std::optional<duration>
upstream_table::hedgeDelay(std::string_view Index) const {
  return std::visit([Index](const auto &P) { return P.hedgeDelay(Index); },
                    Policy);
}

void upstream_table::firstAttempt(std::string_view Budget, time_point Now) {
  std::visit([&](auto &P) { P.firstAttempt(Budget, Now); }, Policy);
}

bool upstream_table::takeHedge(std::string_view Budget, time_point Now) {
  return std::visit([&](auto &P) { return P.takeHedge(Budget, Now); }, Policy);
}

bool upstream_table::takeRetry(std::string_view Budget, time_point Now) {
  return std::visit([&](auto &P) { return P.takeRetry(Budget, Now); }, Policy);
}

bool upstream_table::hasRetry(std::string_view Budget, time_point Now) const {
  return std::visit([&](const auto &P) { return P.hasRetry(Budget, Now); },
                    Policy);
}

bool upstream_table::withinReach(std::span<const replica> Replicas) const {
  return std::any_of(Replicas.begin(), Replicas.end(),
                     [this](const replica &One) { return mayChoose(One); });
}

bool upstream_table::servesBy(std::span<const replica> Replicas,
                              time_point Latest) const {
  return std::any_of(
      Replicas.begin(), Replicas.end(), [&](const replica &Candidate) {
        if (!mayChoose(Candidate))
          return false;
        if (Hearsay.excludes(Candidate.Address, Latest))
          return false;
        auto Found = States.find(Candidate.Address);
        if (Found == States.end())
          return true;
        const upstream_health &Health = Found->second.Health;
        return !Health.isDraining(Latest) && !Health.isSuspect(Latest);
      });
}

void upstream_table::attemptStarted(std::string_view Upstream) {
  ++stateOf(Upstream, time_point{}).InFlight;
}

void upstream_table::attemptEnded(std::string_view Upstream) {
  auto Found = States.find(Upstream);
  if (Found != States.end() && Found->second.InFlight > 0)
    --Found->second.InFlight;
}

void upstream_table::answered(const attempt_facts &Attempt, time_point Now) {
  stateOf(Attempt.Upstream, Now).Health.answered(Attempt.Age, Now);
  Hearsay.answered(Attempt.Upstream, Now - Attempt.Age);
  observe(Attempt);
}

void upstream_table::failed(const attempt_facts &Attempt,
                            attempt_failure Failure, time_point Now) {
  upstream_state &State = stateOf(Attempt.Upstream, Now);
  upstream_health &Health = State.Health;
  switch (Failure) {
  case attempt_failure::Refused:
    return Health.refused(State.InFlight, Now);
  case attempt_failure::Draining:
    Teller.refused(Attempt.Upstream, Now);
    Hearsay.refused(Attempt.Upstream);
    return Health.draining(Now + Drain.ExclusionPeriod);
  case attempt_failure::NotSent:
  case attempt_failure::Unknown:
  case attempt_failure::Failed:
    return Health.failed(Now);
  case attempt_failure::SnapshotGone:
  case attempt_failure::Misdirected:
    return;
  }
}

void upstream_table::misdirected(const std::string &Instance) {
  // An identity is of one start, so it never comes back; old ones are forgotten
  // all at once, which costs an attempt each at most.
  if (Replaced.size() >= MostReplaced)
    Replaced.clear();
  Replaced.insert(Instance);
}

void upstream_table::abandoned(const attempt_facts &Attempt, time_point Now) {
  upstream_state &State = stateOf(Attempt.Upstream, Now);
  upstream_health &Health = State.Health;
  Health.abandoned(Attempt.Age, Now);
  std::optional<duration> Delay = hedgeDelay(Attempt.Index);
  bool Slow = SuspectSlow && Delay && Attempt.Age >= *Delay;
  if (Slow)
    Health.slow(State.InFlight, Now);
  observe(Attempt);
}

void upstream_table::onNotice(const drain_notice &Notice, time_point Now) {
  Hearsay.onNotice(Notice, Now);
  time_point Until = Hearsay.excludedUntil(Notice.Upstream);
  auto Found = States.find(Notice.Upstream);
  if (Found != States.end() && Until > Now)
    Found->second.Health.returnsAt(Until);
}

unsigned upstream_table::inFlight(std::string_view Upstream) const {
  auto Found = States.find(Upstream);
  return Found == States.end() ? 0 : Found->second.InFlight;
}

std::vector<candidate>
upstream_table::candidates(std::span<const replica> Replicas,
                           std::span<const std::string> Tried, time_point Now) {
  std::vector<candidate> Set;
  bool AnyTold = false;
  for (const replica &Replica : Replicas) {
    if (!mayChoose(Replica) || Replaced.count(Replica.Instance) > 0)
      continue;
    upstream_state &State = stateOf(Replica, Now);
    bool WasTried =
        std::find(Tried.begin(), Tried.end(), Replica.Address) != Tried.end();
    bool ToldDraining = Hearsay.excludes(Replica.Address, Now);
    AnyTold = AnyTold || ToldDraining;
    Set.push_back({&Replica, &State.Health, State.InFlight,
                   placesAt(Replica, Now), slotShare(Replica, Now),
                   ToldDraining, WasTried, Replica.DataCentre != DataCentre});
  }
  if (AnyTold && !servesBy(Replicas, Now))
    askAlone(Set);
  return Set;
}

void upstream_table::askAlone(std::vector<candidate> &Set) {
  // No replica is left: one attempt at a time finds out which is back.
  for (candidate &One : Set)
    One.ToldDraining = One.ToldDraining && One.InFlight > 0;
}

upstream_table::upstream_state &
upstream_table::stateOf(std::string_view Upstream, time_point Now) {
  auto Found = States.find(Upstream);
  if (Found == States.end())
    Found = States.emplace(std::string(Upstream), upstream_state(Now)).first;
  return Found->second;
}

upstream_table::upstream_state &upstream_table::stateOf(const replica &Replica,
                                                        time_point Now) {
  upstream_state &State = stateOf(Replica.Address, Now);
  if (State.Instance == Replica.Instance)
    return State;
  // Another upstream has taken over the address.
  State.Instance = Replica.Instance;
  State.Health = upstream_health(Now);
  return State;
}

unsigned upstream_table::slotShare(const replica &Replica,
                                   time_point Now) const {
  unsigned Places = placesAt(Replica, Now);
  return std::max(1U,
                  Replica.Slots * Places / std::max(1U, Replica.Connections));
}

void upstream_table::observe(const attempt_facts &Attempt) {
  // A hedge that loses is given up early, so that hedges would make the
  // latencies look shorter than they are.
  if (Attempt.Kind == attempt_kind::Hedge)
    return;
  std::visit([&](auto &P) { P.observe(Attempt.Index, Attempt.Age); }, Policy);
}

unsigned upstream_table::placesAt(const replica &Replica,
                                  time_point Now) const {
  if (OwnConnections > 0)
    return std::min(OwnConnections, Replica.Connections);
  if (!Grant)
    return Replica.Connections;
  return Grant->places(Replica.Address, Replica.Connections, Now);
}
