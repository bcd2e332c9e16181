#include "masticproxy/src/Routing/hedge_schedule.h"

using namespace masticproxy;

std::optional<time_point> hedge_schedule::next() const {
  if (Queue.empty())
    return std::nullopt;
  return Queue.top().first;
}

std::optional<std::uint64_t> hedge_schedule::takeDue(time_point Now) {
  if (Queue.empty() || Queue.top().first > Now)
    return std::nullopt;
  std::uint64_t Attempt = Queue.top().second;
  Queue.pop();
  return Attempt;
}
