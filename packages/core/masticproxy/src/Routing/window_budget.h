#ifndef MASTICPROXY_ROUTING_WINDOW_BUDGET_H
#define MASTICPROXY_ROUTING_WINDOW_BUDGET_H

#include "masticproxy/src/Base/clock.h"

#include <array>
#include <cstdint>

namespace masticproxy {

/// \brief Bounds of a window_budget.
struct window_budget_limits {
  /// Further attempts allowed for each first one of a window.
  double Share = 0.09;
  /// Further attempts allowed in a window besides.
  double Base = 10;
  /// Part of both that hedges may take.
  double HedgePart = 0.5;
  duration Window = std::chrono::seconds(10);
};

/// \brief Bounds the attempts beyond the first at one shard within a sliding
/// window of time.
///
/// In the window that ends with a granted attempt there are at most
/// Base + Share * first attempts further ones, and HedgePart of that are
/// hedges.
class window_budget {
public:
  explicit window_budget(window_budget_limits Limits) : Limits(Limits) {}

  /// Notes a first attempt, which allows a share of a further one.
  void firstAttempt(time_point Now) { ++bucketAt(Now).First; }

  /// \returns whether a hedge may be sent now; it is paid for if so.
  bool takeHedge(time_point Now);

  /// \returns whether a retry may be sent now; it is paid for if so.
  bool takeRetry(time_point Now);

  /// \returns whether takeRetry() would grant one at \p Now, which may be later
  /// than all that was sent.
  bool hasRetry(time_point Now) const;

private:
  /// Parts of a window that are counted together.
  static constexpr unsigned BucketsPerWindow = 10;

  /// What was sent in one part of a window.
  struct bucket {
    std::int64_t Number = -1;
    unsigned First = 0;
    unsigned Hedges = 0;
    unsigned Retries = 0;
  };

  std::int64_t bucketNumberAt(time_point Now) const;
  bucket &bucketAt(time_point Now);
  /// \returns what was sent in the window that ends at \p Now.
  bucket sum(time_point Now) const;
  double allowed(const bucket &Sum) const;

  window_budget_limits Limits;
  /// The parts of a window and the one that it has only a piece of.
  std::array<bucket, BucketsPerWindow + 1> Buckets{};
};

} // namespace masticproxy

#endif
