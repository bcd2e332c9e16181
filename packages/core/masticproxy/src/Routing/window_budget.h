#ifndef MASTICPROXY_ROUTING_WINDOW_BUDGET_H
#define MASTICPROXY_ROUTING_WINDOW_BUDGET_H

#include "masticproxy/src/Base/clock.h"

#include <array>
#include <cstdint>

namespace masticproxy {

/// \brief Bounds of a window_budget.
struct window_budget_limits {
  /// Further attempts allowed for each first attempt in a window.
  double Share = 0.09;
  /// Further attempts allowed in a window in addition to the share.
  double Base = 10;
  /// Part of both that hedges may use, in [0, 1].
  double HedgePart = 0.5;
  /// Length of the window.
  duration Window = std::chrono::seconds(10);
};

/// \brief Bounds the attempts beyond the first at one shard within a sliding
/// window of time.
///
/// A window that ends with a granted attempt contains at most
/// Base + Share * (first attempts) further attempts, of which at most the part
/// HedgePart are hedges.
class window_budget {
public:
  explicit window_budget(window_budget_limits Limits) : Limits(Limits) {}

  /// Records a first attempt, which allows a share of a further one.
  void firstAttempt(time_point Now) { ++bucketAt(Now).First; }

  /// \returns whether a hedge may be sent at \p Now, and deducts it if so.
  bool takeHedge(time_point Now);

  /// \returns whether a retry may be sent at \p Now, and deducts it if so.
  bool takeRetry(time_point Now);

  /// \returns whether takeRetry() would grant one at \p Now, which may be later
  /// than the last recorded attempt.
  bool hasRetry(time_point Now) const;

private:
  /// Number of parts of a window whose attempts are counted separately.
  static constexpr unsigned BucketsPerWindow = 10;

  /// Attempts sent in one part of a window.
  struct bucket {
    std::int64_t Number = -1;
    unsigned First = 0;
    unsigned Hedges = 0;
    unsigned Retries = 0;
  };

  std::int64_t bucketNumberAt(time_point Now) const;
  bucket &bucketAt(time_point Now);
  /// \returns the attempts sent in the window that ends at \p Now.
  bucket sum(time_point Now) const;
  double allowed(const bucket &Sum) const;

  window_budget_limits Limits;
  /// Ring of the parts of a window and the older one that it overlaps.
  std::array<bucket, BucketsPerWindow + 1> Buckets{};
};

} // namespace masticproxy

#endif
