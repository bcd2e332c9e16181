#ifndef MASTICPROXY_ROUTING_LATENCY_HISTOGRAM_H
#define MASTICPROXY_ROUTING_LATENCY_HISTOGRAM_H

#include "masticproxy/src/Base/clock.h"

#include <array>
#include <cstddef>
#include <optional>

namespace masticproxy {

/// \brief Recent latencies in buckets whose edges have a constant ratio. Older
/// latencies lose weight.
class latency_histogram {
public:
  /// Adds one latency.
  void add(duration Latency);

  /// \returns the upper edge of the bucket that holds the quantile \p Share,
  /// in [0, 1], or nothing while too few latencies are known.
  std::optional<duration> quantile(double Share) const;

private:
  static constexpr std::size_t BucketCount = 128;

  static std::size_t bucketOf(duration Latency);

  std::array<double, BucketCount> Counts{};
  double Total = 0;
};

} // namespace masticproxy

#endif
