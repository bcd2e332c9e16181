#ifndef MASTICPROXY_ROUTING_HEDGE_SCHEDULE_H
#define MASTICPROXY_ROUTING_HEDGE_SCHEDULE_H

#include "masticproxy/src/Base/clock.h"

#include <cstdint>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

namespace masticproxy {

/// \brief Open attempts in the order in which they are to be hedged.
///
/// An attempt that ends is not removed at once; the owner drops it with
/// dropEnded() when it is first in the schedule.
class hedge_schedule {
public:
  /// Adds \p Attempt, to be hedged at \p Due.
  void add(time_point Due, std::uint64_t Attempt) {
    Queue.emplace(Due, Attempt);
  }

  /// Drops attempts from the front for as long as \p IsOpen returns false for
  /// the first.
  template <typename Predicate> void dropEnded(Predicate IsOpen) {
    while (!Queue.empty() && !IsOpen(Queue.top().second))
      Queue.pop();
  }

  /// \returns when the first attempt is due, if there is one.
  std::optional<time_point> next() const;

  /// Removes and \returns the first attempt if it is due at \p Now.
  std::optional<std::uint64_t> takeDue(time_point Now);

private:
  using entry = std::pair<time_point, std::uint64_t>;

  std::priority_queue<entry, std::vector<entry>, std::greater<>> Queue;
};

} // namespace masticproxy

#endif
