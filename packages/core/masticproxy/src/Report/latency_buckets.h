#ifndef MASTICPROXY_REPORT_LATENCY_BUCKETS_H
#define MASTICPROXY_REPORT_LATENCY_BUCKETS_H

#include "masticproxy/src/Base/clock.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace masticproxy {

/// \brief Latencies counted in buckets of equal ratio; counts of several VMs
/// add up to the counts of all.
///
/// A quantile is never below the true one, and at most 5 % and 2 us above it;
/// below 100 us and above 15 minutes only the bound is known.
class latency_buckets {
public:
  /// \brief Latencies up to Edge that are above the next lower edge.
  struct bucket {
    std::chrono::microseconds Edge{0};
    std::uint64_t Count = 0;

    bool operator==(const bucket &) const = default;
  };

  /// Adds \p Count latencies of \p Latency.
  void add(duration Latency, std::uint64_t Count = 1);

  /// Adds all that \p Other counted.
  void merge(const latency_buckets &Other);

  /// \returns the upper edge of the bucket that holds the quantile \p Share in
  /// (0, 1], or nothing where no latency was counted.
  std::optional<std::chrono::microseconds> quantile(double Share) const;

  /// \returns the buckets that are not empty, lowest first.
  std::vector<bucket> filled() const;

  /// \returns how many latencies were counted.
  std::uint64_t total() const { return Total; }

private:
  static constexpr std::size_t BucketCount = 330;
  using edge_list = std::array<std::chrono::microseconds, BucketCount>;

  static const edge_list &edges();

  std::array<std::uint64_t, BucketCount> Counts{};
  std::uint64_t Total = 0;
};

} // namespace masticproxy

#endif
