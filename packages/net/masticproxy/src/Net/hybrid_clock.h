#ifndef MASTICPROXY_NET_HYBRID_CLOCK_H
#define MASTICPROXY_NET_HYBRID_CLOCK_H

#include "masticproxy/src/Base/clock.h"

#include <cstdint>
#include <mutex>
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

/// \brief A hybrid logical clock; may be used by several threads.
class hybrid_clock {
public:
  explicit hybrid_clock(const clock &Clock) : Clock(Clock) {}

  /// \returns the stamp of a local event; later than all before.
  hybrid_time tick();

  /// Takes in a stamp that came with a message. \returns the stamp of the
  /// message's receipt; later than \p Remote.
  hybrid_time receive(hybrid_time Remote);

private:
  const clock &Clock;
  std::mutex Mutex;
  hybrid_time Last;
};

} // namespace masticproxy

#endif
