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

/// \brief Chooses by own observation, hedges late attempts, and keeps hedges
/// and retries within one budget.
class adaptive_policy {
public:
  /// \p Seed fixes the draws among equals.
  explicit adaptive_policy(unsigned Seed, policy_tuning Tuning = {})
      : Tuning(Tuning), Random(Seed) {}

  /// \returns the replica of \p Set for an attempt, or null.
  const replica *choose(std::span<const candidate> Set, time_point Now);

  /// \returns the replica of \p Set for a hedge, or null; always null while
  /// the set looks overloaded.
  const replica *chooseHedge(std::span<const candidate> Set, time_point Now);

  /// \returns how long an attempt at \p Index is out before it is hedged, or
  /// nothing while too little is known.
  std::optional<duration> hedgeDelay(std::string_view Index) const;

  /// Notes how long an attempt at \p Index that is no hedge took; for one
  /// that was given up, its age.
  void observe(std::string_view Index, duration Latency);

  /// \p Name is that of a shard with a budget of its own, or empty for the
  /// one that all others share; here as below.
  void firstAttempt(std::string_view Name, time_point Now);
  bool takeHedge(std::string_view Name, time_point Now);
  bool takeRetry(std::string_view Name, time_point Now);
  bool hasRetry(std::string_view Name, time_point Now) const;

private:
  struct index_latency {
    latency_histogram Latencies;
    /// Kept from one calculation to the next.
    std::optional<duration> HedgeDelay;
    unsigned SinceUpdate = 0;
  };

  const replica *cheapest(std::span<const candidate> Open, time_point Now);
  /// \returns what an upstream costs beyond its load and latency.
  double costFactor(const candidate &Candidate, time_point Now) const;
  bool passesRamp(const candidate &Candidate, double MaxReadiness, time_point Now);

  window_budget &budgetOf(std::string_view Shard);

  policy_tuning Tuning;
  load_budget Shared;
  std::map<std::string, window_budget, std::less<>> ByShard;
  std::minstd_rand Random;
  std::map<std::string, index_latency, std::less<>> Indexes;
};

} // namespace masticproxy

#endif
