#ifndef MASTICPROXY_BASE_HYBRID_TIME_H
#define MASTICPROXY_BASE_HYBRID_TIME_H

#include <cstdint>
#include <tuple>

namespace masticproxy {

/// \brief A time stamp that orders causes before effects, whatever the skew
/// between the VMs' clocks.
struct hybrid_time {
  /// Wall time in microseconds since 1970, never running back.
  std::int64_t Microseconds = 0;
  /// Orders events within the same microsecond.
  std::uint32_t Counter = 0;

  bool operator==(const hybrid_time &) const = default;

  bool operator<(const hybrid_time &Other) const {
    return std::tie(Microseconds, Counter) <
           std::tie(Other.Microseconds, Other.Counter);
  }
};

} // namespace masticproxy

#endif
