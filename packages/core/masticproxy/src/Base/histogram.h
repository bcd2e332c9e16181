#ifndef MASTICPROXY_BASE_HISTOGRAM_H
#define MASTICPROXY_BASE_HISTOGRAM_H

#include "masticproxy/src/Base/clock.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace masticproxy {

/// \brief Spans of time counted in buckets; any thread may add, any may read.
/// \sa counter_registry
class histogram {
public:
  /// Counts \p Span.
  void add(duration Span) noexcept;

  /// \returns the spans counted.
  std::uint64_t count() const noexcept;

  /// \returns the Prometheus text form of a histogram called \p Name, in
  /// seconds; \p Labels as in counter_registry::get().
  std::string prometheusText(std::string_view Name,
                             std::string_view Labels) const;

private:
  static constexpr std::size_t Edges = 14;
  static const std::array<std::chrono::milliseconds, Edges> UpperEdges;

  /// The last one counts what is above all edges.
  std::array<std::atomic<std::uint64_t>, Edges + 1> Counts{};
  std::atomic<std::int64_t> SumMicroseconds{0};
};

} // namespace masticproxy

#endif
