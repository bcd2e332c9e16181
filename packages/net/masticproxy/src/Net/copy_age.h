#ifndef MASTICPROXY_NET_COPY_AGE_H
#define MASTICPROXY_NET_COPY_AGE_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Net/platform_position.h"

#include <chrono>
#include <deque>
#include <mutex>
#include <optional>

namespace masticproxy {

struct heartbeat_reading;

/// \brief Shows how old the answers of a copy of the platform are, by the
/// platform's heartbeat. Shared by threads.
class copy_age {
public:
  /// Takes in \p Reading. \returns a time as of which it is current; empty if
  /// none is shown.
  std::optional<time_point> onReading(const heartbeat_reading &Reading);

  /// \returns a time as of which an answer at \p Position is current; empty if
  /// none is shown.
  std::optional<time_point> asOf(platform_position Position) const;

private:
  /// Later heartbeats than the one at Revision, which has Elapsed, were written
  /// after Time.
  struct lower_bound {
    std::uint64_t Revision;
    std::chrono::milliseconds Elapsed;
    time_point Time;
  };
  struct known_position {
    platform_position Position;
    time_point AsOf;
  };

  std::optional<time_point> asOfCopy(const heartbeat_reading &Reading) const;
  void improveBound(const heartbeat_reading &Reading);
  void note(platform_position Position, time_point AsOf);

  mutable std::mutex Mutex;
  std::uint64_t Era = 0;
  std::optional<lower_bound> Bound;
  /// All changes up to AsOf are at Position or before; both increase.
  std::deque<known_position> Known;
};

} // namespace masticproxy

#endif
