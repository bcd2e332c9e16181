#ifndef MASTICPROXY_TESTS_MANUAL_CLOCK_H
#define MASTICPROXY_TESTS_MANUAL_CLOCK_H

#include "masticproxy/src/Base/clock.h"

namespace masticproxy {

/// \brief A clock that only moves when the test says so.
class manual_clock : public clock {
public:
  time_point now() const override { return Now; }
  std::chrono::microseconds wallTime() const override { return Wall; }

  /// Moves both times on.
  void advance(duration Span) {
    Now += Span;
    Wall += std::chrono::duration_cast<std::chrono::microseconds>(Span);
  }

  /// Lets the wall time jump.
  void setWall(std::chrono::microseconds NewWall) { Wall = NewWall; }

private:
  time_point Now{std::chrono::hours(1)};
  std::chrono::microseconds Wall{std::chrono::hours(1)};
};

} // namespace masticproxy

#endif
