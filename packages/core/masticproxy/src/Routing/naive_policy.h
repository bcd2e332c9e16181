#ifndef MASTICPROXY_ROUTING_NAIVE_POLICY_H
#define MASTICPROXY_ROUTING_NAIVE_POLICY_H

#include "masticproxy/src/Routing/candidate.h"

#include <optional>
#include <random>
#include <span>
#include <string_view>

namespace masticproxy {

/// \brief The baseline for adaptive_policy: chooses a random open replica,
/// sends no hedges, and does not bound retries.
class naive_policy {
public:
  /// \p Seed seeds the random choice of replicas.
  explicit naive_policy(unsigned Seed) : Random(Seed) {}

  /// \returns a random open replica of \p Set, or null.
  const replica *choose(std::span<const candidate> Set, time_point Now);

  const replica *chooseHedge(std::span<const candidate>, time_point) {
    return nullptr;
  }
  std::optional<duration> hedgeDelay(std::string_view) const {
    return std::nullopt;
  }
  void observe(std::string_view, duration) {}
  void firstAttempt(std::string_view, time_point) {}
  bool takeHedge(std::string_view, time_point) { return false; }
  bool takeRetry(std::string_view, time_point) { return true; }
  bool hasRetry(std::string_view, time_point) const { return true; }

private:
  std::minstd_rand Random;
};

} // namespace masticproxy

#endif
