#ifndef MASTICPROXY_NET_HYBRID_CLOCK_H
#define MASTICPROXY_NET_HYBRID_CLOCK_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Base/hybrid_time.h"

#include <mutex>

namespace masticproxy {

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
