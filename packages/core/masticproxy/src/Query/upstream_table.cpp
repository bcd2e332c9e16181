#include "masticproxy/src/Query/upstream_table.h"

#include "masticproxy/src/Query/engine_event.h"
#include "masticproxy/src/Query/index_map.h"

#include <algorithm>

using namespace masticproxy;

namespace {

/// How long an upstream that reset a connection is assumed to be full.
constexpr std::chrono::milliseconds AtLimitMemory{10000};

} // namespace

const replica *upstream_table::choose(std::span<const replica> Replicas,
                                      std::span<const std::string> Tried,
                                      time_point Now) {
  std::vector<candidate> Set = candidates(Replicas, Tried, Now);
  auto Choose = [&](auto &P) { return P.choose(Set, Now); };
  const replica *Chosen = std::visit(Choose, Policy);
  if (!Chosen && raiseLimits(Set, Now))
    Chosen = std::visit(Choose, Policy);
  return Chosen;
}

bool upstream_table::raiseLimits(std::vector<candidate> &Set, time_point Now) {
  // Many VMs turn to the only upstream left of a shard; what one of them held
  // there besides its first connection, others would lack.
  bool Several = OwnConnections > 0 && Set.size() > 1;
  if (!Several)
    return false;
  bool Raised = false;
  for (candidate &One : Set) {
    unsigned Limit = std::min(OwnConnections, One.Replica->Connections);
    bool Full = stateOf(*One.Replica, Now).AtLimitUntil > Now;
    if (Full || One.MaxInFlight >= Limit)
      continue;
    One.MaxInFlight = Limit;
    Raised = true;
  }
  return Raised;
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

bool upstream_table::anyAvailableBy(std::span<const replica> Replicas,
                                    time_point Latest) const {
  return std::any_of(
      Replicas.begin(), Replicas.end(), [&](const replica &Candidate) {
        bool Excludes = Excluded.excludes(Candidate, Latest);
        if (!isSelectable(Candidate) || Excludes)
          return false;
        if (ReceivedNotices.excludes(Candidate.Address, Latest))
          return false;
        auto Found = States.find(Candidate.Address);
        if (Found == States.end())
          return true;
        const upstream_health &Health = Found->second.Health;
        return !Health.isDraining(Latest) && !Health.isSuspect(Latest);
      });
}

void upstream_table::attemptStarted(std::string_view Upstream, time_point Now) {
  upstream_state &State = stateOf(Upstream, Now);
  ++State.InFlight;
  State.Rate.add(Now);
}

void upstream_table::attemptEnded(std::string_view Upstream) {
  auto Found = States.find(Upstream);
  if (Found != States.end() && Found->second.InFlight > 0)
    --Found->second.InFlight;
}

void upstream_table::answered(const attempt_facts &Attempt, time_point Now) {
  stateOf(Attempt.Upstream, Now).Health.answered(Attempt.Age, Now);
  ReceivedNotices.answered(Attempt.Upstream, Now - Attempt.Age);
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
    SentNotices.refused(Attempt.Upstream, Now);
    ReceivedNotices.refused(Attempt.Upstream);
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

void upstream_table::atLimit(std::string_view Upstream, time_point Now) {
  stateOf(Upstream, Now).AtLimitUntil = Now + AtLimitMemory;
}

void upstream_table::onStatus(const upstream_status &Status, time_point Now) {
  time_point PausedUntil = Excluded.onStatus(Status, Now);
  // Those who wait for the end of a pause must not come all at once.
  if (PausedUntil > Now)
    stateOf(Status.Address, Now).Health.rampUpFrom(PausedUntil);
}

std::optional<time_point>
upstream_table::nextAvailable(std::span<const replica> Replicas,
                              time_point Now) const {
  std::optional<time_point> Next;
  for (const replica &Replica : Replicas) {
    if (!isSelectable(Replica))
      continue;
    time_point Until = Excluded.excludedUntil(Replica, Now);
    if (Until != time_point::max())
      Next = std::min(Next.value_or(Until), Until);
  }
  return Next;
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
  ReceivedNotices.onNotice(Notice, Now);
  time_point Until = ReceivedNotices.excludedUntil(Notice.Upstream);
  auto Found = States.find(Notice.Upstream);
  if (Found != States.end() && Until > Now)
    Found->second.Health.rampUpFrom(Until);
}

unsigned upstream_table::inFlight(std::string_view Upstream) const {
  auto Found = States.find(Upstream);
  return Found == States.end() ? 0 : Found->second.InFlight;
}

std::vector<candidate>
upstream_table::candidates(std::span<const replica> Replicas,
                           std::span<const std::string> Tried, time_point Now) {
  std::vector<candidate> Set;
  bool AnyReportedDraining = false;
  for (const replica &Replica : Replicas) {
    if (!isSelectable(Replica) || Excluded.excludes(Replica, Now))
      continue;
    upstream_state &State = stateOf(Replica, Now);
    bool WasTried =
        std::find(Tried.begin(), Tried.end(), Replica.Address) != Tried.end();
    bool ReportedDraining = ReceivedNotices.excludes(Replica.Address, Now);
    AnyReportedDraining = AnyReportedDraining || ReportedDraining;
    Set.push_back({&Replica, &State.Health, State.InFlight,
                   connectionLimit(Replica, Now), slotShare(Replica, Now),
                   ReportedDraining, WasTried,
                   Replica.DataCentre != DataCentre});
  }
  if (AnyReportedDraining && !anyAvailableBy(Replicas, Now))
    limitToOneInFlight(Set);
  return Set;
}

void upstream_table::limitToOneInFlight(std::vector<candidate> &Set) {
  // No replica is available: one attempt at a time at each shows which one
  // accepts requests again.
  for (candidate &One : Set)
    One.ReportedDraining = One.ReportedDraining && One.InFlight > 0;
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
  if (State.Process == Replica.process())
    return State;
  // The address now belongs to another process.
  if (!State.Process.empty())
    State.Health = upstream_health(Now);
  State.Process = Replica.process();
  return State;
}

unsigned upstream_table::slotShare(const replica &Replica,
                                   time_point Now) const {
  unsigned AllowedConnections = connectionLimit(Replica, Now);
  return std::max(1U, Replica.Slots * AllowedConnections /
                          std::max(1U, Replica.Connections));
}

void upstream_table::observe(const attempt_facts &Attempt) {
  // A redundant hedge is abandoned early, so that counting hedges would make
  // the latencies appear shorter than they are.
  if (Attempt.Kind == attempt_kind::Hedge)
    return;
  std::visit([&](auto &P) { P.observe(Attempt.Index, Attempt.Age); }, Policy);
}

unsigned upstream_table::connectionLimit(const replica &Replica,
                                         time_point Now) const {
  if (OwnConnections > 0)
    return std::min(ownConnections(Replica.Address, Now), Replica.Connections);
  if (!Grant)
    return Replica.Connections;
  return Grant->places(Replica.Address, Replica.Connections, Now);
}

unsigned upstream_table::ownConnections(std::string_view Upstream,
                                        time_point Now) const {
  if (AttemptsPerConnection == 0)
    return OwnConnections;
  auto Found = States.find(Upstream);
  if (Found == States.end())
    return 1;
  double Needed = Found->second.Rate.perSecond(Now) / AttemptsPerConnection;
  if (Needed >= OwnConnections)
    return OwnConnections;
  return 1 + static_cast<unsigned>(Needed);
}
