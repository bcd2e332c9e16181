#include "masticproxy/src/Net/event_log.h"

using namespace masticproxy;

event_log::event_log(hybrid_clock &Clock, std::size_t Capacity)
    : Clock(Clock), Events(Capacity) {}

void event_log::add(std::string_view Kind, std::string_view RequestId,
                    std::string_view Detail) {
  timeline_event Event{Clock.tick(), std::string(Kind), std::string(RequestId),
                       std::string(Detail)};
  std::lock_guard<std::mutex> Lock(Mutex);
  Events.push_back(std::move(Event));
}

std::vector<timeline_event>
event_log::events(std::string_view RequestId) const {
  std::vector<timeline_event> Chosen;
  std::lock_guard<std::mutex> Lock(Mutex);
  for (const timeline_event &Event : Events)
    if (RequestId.empty() || Event.RequestId == RequestId)
      Chosen.push_back(Event);
  return Chosen;
}
