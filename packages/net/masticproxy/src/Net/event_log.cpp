#include "masticproxy/src/Net/event_log.h"

using namespace masticproxy;

event_log::event_log(hybrid_clock &Clock, std::size_t Capacity)
    : Clock(Clock), Events(Capacity) {}

void event_log::add(std::string_view Kind, std::string_view RequestId,
                    std::string_view Detail, event_facts Facts) {
  if (!keeps())
    return;
  timeline_event Event{{},
                       std::string(Kind),
                       std::string(RequestId),
                       std::string(Detail),
                       std::move(Facts)};
  std::lock_guard<std::mutex> Lock(Mutex);
  // Stamped under the lock: who has read up to a stamp has all before it.
  Event.At = Clock.tick();
  Events.push_back(std::move(Event));
}

std::vector<timeline_event>
event_log::events(std::string_view RequestId,
                  std::chrono::microseconds From) const {
  std::vector<timeline_event> Chosen;
  std::lock_guard<std::mutex> Lock(Mutex);
  for (const timeline_event &Event : Events)
    if (Event.At.Microseconds >= From.count() &&
        (RequestId.empty() || Event.RequestId == RequestId))
      Chosen.push_back(Event);
  return Chosen;
}
