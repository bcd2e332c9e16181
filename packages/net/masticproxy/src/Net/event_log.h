#ifndef MASTICPROXY_NET_EVENT_LOG_H
#define MASTICPROXY_NET_EVENT_LOG_H

#include "masticproxy/src/Net/timeline_event.h"

#include <boost/circular_buffer.hpp>

#include <chrono>
#include <cstddef>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace masticproxy {

/// \brief The newest events of one process; older ones give way.
class event_log {
public:
  /// Keeps up to \p Capacity events; with 0 none.
  event_log(hybrid_clock &Clock, std::size_t Capacity);

  /// \returns whether events are kept, so that they are worth describing.
  bool keeps() const { return Events.capacity() > 0; }

  /// Adds an event that happens now.
  void add(std::string_view Kind, std::string_view RequestId,
           std::string_view Detail, event_facts Facts = {});

  /// \returns the kept events that are not older than \p From, oldest first;
  /// those of \p RequestId only, if it is not empty.
  std::vector<timeline_event> events(std::string_view RequestId,
                                     std::chrono::microseconds From = {}) const;

private:
  hybrid_clock &Clock;
  mutable std::mutex Mutex;
  boost::circular_buffer<timeline_event> Events;
};

} // namespace masticproxy

#endif
