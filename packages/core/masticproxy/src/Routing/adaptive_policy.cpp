#include "masticproxy/src/Routing/adaptive_policy.h"

#include "masticproxy/src/Routing/outlier_ejection.h"

#include <algorithm>
#include <cstddef>
#include <limits>
#include <vector>

using namespace masticproxy;

namespace {

/// Minimum time before a hedge.
constexpr std::chrono::milliseconds MinHedgeDelay{1};

/// Number of latencies between two calculations of the hedge delay.
constexpr unsigned HedgeDelayUpdateInterval = 16;

/// Latencies below this multiple of the best in the set count as equal.
constexpr double EqualLatencyRatio = 2.0;

/// The best latency counts as at least this long, so that differences below it
/// do not matter.
constexpr std::chrono::milliseconds LatencyFloor{1};

/// Cost of a suspect relative to a replica without failures.
constexpr double SuspectCostFactor = 4.0;

/// Failure score that fault-free upstreams reach too, because of short pauses;
/// up to it upstreams count as equal.
constexpr double UsualFailureScore = 0.1;

duration bestLatency(std::span<const candidate> Candidates, time_point Now) {
  duration BestLatency = duration::max();
  for (const candidate &Candidate : Candidates) {
    duration Latency = Candidate.Health->latency(Now);
    if (Latency > duration{0})
      BestLatency = std::min(BestLatency, Latency);
  }
  return std::max<duration>(BestLatency, LatencyFloor);
}

/// Cost by open attempts, suspicion and latency, relative to an idle upstream
/// with the best latency.
double loadCost(const candidate &Candidate, duration BestLatency,
                time_point Now) {
  std::chrono::duration<double> Latency = Candidate.Health->latency(Now);
  std::chrono::duration<double> Best = BestLatency;
  double Slowness = std::max(1.0, Latency / (Best * EqualLatencyRatio));
  // Not every suspect is ejected (see ejectedReplicas()). One that remains
  // costs more, so it is chosen less often. This factor ends with the
  // suspicion, so that the upstream is tried again; the failure score, which
  // decays, may still raise the cost.
  double Suspicion = Candidate.Health->isSuspect(Now) ? SuspectCostFactor : 1.0;
  return (Candidate.InFlight + 1.0) * Suspicion * Slowness;
}

std::vector<candidate> usableCandidates(std::span<const candidate> Set,
                                        time_point Now) {
  std::vector<bool> Ejected = ejectedReplicas(Set, Now);
  std::vector<candidate> Candidates;
  for (std::size_t I = 0; I < Set.size(); ++I) {
    bool Usable = Set[I].isOpen(Now) && !Set[I].Health->isBackingOff(Now);
    bool Room = Set[I].Health->hasRoom(Set[I].InFlight);
    if (Usable && Room && !Ejected[I])
      Candidates.push_back(Set[I]);
  }
  return Candidates;
}

} // namespace

const replica *adaptive_policy::choose(std::span<const candidate> Set,
                                       time_point Now) {
  std::vector<candidate> Candidates = usableCandidates(Set, Now);
  double MaxReadiness = 0;
  for (const candidate &Candidate : Candidates)
    MaxReadiness = std::max(MaxReadiness, Candidate.Health->readiness(Now));
  std::vector<candidate> Ready;
  for (const candidate &Candidate : Candidates)
    if (passesRamp(Candidate, MaxReadiness, Now))
      Ready.push_back(Candidate);
  return cheapest(Ready, Now);
}

const replica *adaptive_policy::chooseHedge(std::span<const candidate> Set,
                                            time_point Now) {
  auto Overloaded =
      std::count_if(Set.begin(), Set.end(), [Now](const candidate &Candidate) {
        return Candidate.Health->isOverloaded(Now);
      });
  if (2 * static_cast<std::size_t>(Overloaded) >= Set.size())
    return nullptr;
  std::vector<candidate> Candidates = usableCandidates(Set, Now);
  std::erase_if(Candidates, [Now](const candidate &Candidate) {
    return Candidate.InFlight >= Candidate.SlotShare ||
           Candidate.Health->isOverloaded(Now) ||
           Candidate.Health->isSuspect(Now);
  });
  return cheapest(Candidates, Now);
}

std::optional<duration>
adaptive_policy::hedgeDelay(std::string_view Index) const {
  auto Found = Indexes.find(Index);
  if (Found == Indexes.end())
    return std::nullopt;
  return Found->second.HedgeDelay;
}

void adaptive_policy::observe(std::string_view Index, duration Latency) {
  auto Found = Indexes.find(Index);
  if (Found == Indexes.end())
    Found = Indexes.emplace(std::string(Index), index_latency{}).first;
  index_latency &State = Found->second;
  State.Latencies.add(Latency);
  if (++State.SinceUpdate < HedgeDelayUpdateInterval)
    return;
  State.SinceUpdate = 0;
  State.HedgeDelay = State.Latencies.quantile(Tuning.HedgeQuantile);
  if (!State.HedgeDelay)
    return;
  auto Delay = std::chrono::duration_cast<duration>(*State.HedgeDelay *
                                                    Tuning.HedgeFactor);
  State.HedgeDelay = std::max<duration>(Delay, MinHedgeDelay);
}

void adaptive_policy::firstAttempt(std::string_view Name, time_point Now) {
  if (Name.empty())
    return Shared.firstAttempt();
  budgetOf(Name).firstAttempt(Now);
}

bool adaptive_policy::takeHedge(std::string_view Name, time_point Now) {
  return Name.empty() ? Shared.takeHedge() : budgetOf(Name).takeHedge(Now);
}

bool adaptive_policy::takeRetry(std::string_view Name, time_point Now) {
  return Name.empty() ? Shared.takeRetry() : budgetOf(Name).takeRetry(Now);
}

bool adaptive_policy::hasRetry(std::string_view Name, time_point Now) const {
  if (Name.empty())
    return Shared.hasRetry();
  auto Found = ByShard.find(Name);
  // A shard without a budget object has sent no attempts, so its whole base
  // (window_budget_limits::Base) is left.
  return Found == ByShard.end() || Found->second.hasRetry(Now);
}

window_budget &adaptive_policy::budgetOf(std::string_view Shard) {
  auto Found = ByShard.find(Shard);
  if (Found == ByShard.end())
    Found = ByShard.emplace(std::string(Shard), window_budget(Tuning.PerShard))
                .first;
  return Found->second;
}

const replica *adaptive_policy::cheapest(std::span<const candidate> Candidates,
                                         time_point Now) {
  duration BestLatency = bestLatency(Candidates, Now);
  double LowestCost = std::numeric_limits<double>::max();
  const replica *Chosen = nullptr;
  unsigned Equals = 0;
  for (const candidate &Candidate : Candidates) {
    double Cost =
        loadCost(Candidate, BestLatency, Now) * costFactor(Candidate, Now);
    if (Cost > LowestCost)
      continue;
    Equals = Cost < LowestCost ? 1 : Equals + 1;
    LowestCost = Cost;
    // Reservoir sampling: each replica of the lowest cost is chosen with the
    // same probability.
    if (Random() % Equals == 0)
      Chosen = Candidate.Replica;
  }
  return Chosen;
}

double adaptive_policy::costFactor(const candidate &Candidate,
                                   time_point Now) const {
  double ExcessScore =
      std::max(0.0, Candidate.Health->failureScore(Now) - UsualFailureScore);
  double FailureFactor = 1.0 + Tuning.TroubleCost * ExcessScore;
  return Candidate.Remote ? FailureFactor * Tuning.RemoteCost : FailureFactor;
}

bool adaptive_policy::passesRamp(const candidate &Candidate,
                                 double MaxReadiness, time_point Now) {
  // The replica of the highest readiness always passes, so that at least one
  // replica remains.
  std::uniform_real_distribution<double> Share(0.0, MaxReadiness);
  return Candidate.Health->readiness(Now) >= Share(Random);
}
