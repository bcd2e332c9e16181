#ifndef MASTICPROXY_ROUTING_ADAPTIVE_POLICY_H
#define MASTICPROXY_ROUTING_ADAPTIVE_POLICY_H

#include "masticproxy/src/Routing/candidate.h"
#include "masticproxy/src/Routing/latency_histogram.h"
#include "masticproxy/src/Routing/load_budget.h"
#include "masticproxy/src/Routing/policy_tuning.h"
#include "masticproxy/src/Routing/window_budget.h"

#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>

namespace masticproxy {

/// \brief Chooses replicas by the results of this VM's own attempts, hedges
/// late attempts, and keeps hedges and retries within one budget.
class adaptive_policy {
public:
  /// \p Seed seeds the random choice between replicas of equal cost.
  explicit adaptive_policy(unsigned Seed, policy_tuning Tuning = {})
      : Tuning(Tuning), Random(Seed) {}

  /// \returns the replica of \p Set for an attempt, or null.
  const replica *choose(std::span<const candidate> Set, time_point Now);

  /// \returns the replica of \p Set for a hedge, or null; always null while
  /// half of the set or more is overloaded.
  const replica *chooseHedge(std::span<const candidate> Set, time_point Now);

  /// \returns the time after which an open attempt at \p Index is hedged, or
  /// nothing while too few latencies are known.
  std::optional<duration> hedgeDelay(std::string_view Index) const;

  /// Records the latency of an attempt at \p Index that is no hedge; for an
  /// abandoned attempt, its age.
  void observe(std::string_view Index, duration Latency);

  /// Records a first attempt. In this and the following functions, \p Name
  /// is that of a shard with a budget of its own, or empty for the budget that
  /// all other shards share.
  void firstAttempt(std::string_view Name, time_point Now);
  bool takeHedge(std::string_view Name, time_point Now);
  bool takeRetry(std::string_view Name, time_point Now);
  bool hasRetry(std::string_view Name, time_point Now) const;

private:
  struct index_latency {
    latency_histogram Latencies;
    /// The result of the last calculation.
    std::optional<duration> HedgeDelay;
    unsigned SinceUpdate = 0;
  };

  /// \returns a replica of \p Candidates with the lowest cost, or null.
  const replica *cheapest(std::span<const candidate> Candidates,
                          time_point Now);
  /// \returns the factor by which failures and a location in another data
  /// centre raise a cost.
  double costFactor(const candidate &Candidate, time_point Now) const;
  /// \returns whether a random draw lets a replica that ramps up have work.
  bool passesRamp(const candidate &Candidate, double MaxReadiness,
                  time_point Now);

  window_budget &budgetOf(std::string_view Shard);

  policy_tuning Tuning;
  load_budget Shared;
  std::map<std::string, window_budget, std::less<>> ByShard;
  std::minstd_rand Random;
  std::map<std::string, index_latency, std::less<>> Indexes;
};

} // namespace masticproxy

#endif
