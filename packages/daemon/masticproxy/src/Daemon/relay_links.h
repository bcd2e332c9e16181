#ifndef MASTICPROXY_DAEMON_RELAY_LINKS_H
#define MASTICPROXY_DAEMON_RELAY_LINKS_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Daemon/daemon_rings.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace masticproxy {

class counter_registry;
class event_log;
class hybrid_clock;

/// \brief What the relay duty's connections are joined to.
struct relay_links {
  boost::asio::io_context &Context;
  const clock &Clock;
  hybrid_clock &Timeline;
  counter_registry &Counters;
  event_log &Events;
  /// Name of this VM and start of its process, which number its attempts.
  std::string Origin;
  std::uint64_t Incarnation = 0;
  /// Hands an event to the engine; waits while the ring is full.
  std::function<void(const relay_event &)> Report;
  /// Hands an event to the engine. \returns false when the ring is full.
  std::function<bool(const relay_event &)> Offer;
};

} // namespace masticproxy

#endif
