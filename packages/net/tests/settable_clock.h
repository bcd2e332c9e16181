#ifndef MASTICPROXY_TESTS_SETTABLE_CLOCK_H
#define MASTICPROXY_TESTS_SETTABLE_CLOCK_H

#include "masticproxy/src/Base/clock.h"

namespace masticproxy {

/// \brief A clock that stands where the test sets it.
struct settable_clock : clock {
  time_point now() const override { return Time; }
  std::chrono::microseconds wallTime() const override { return {}; }
  time_point Time{std::chrono::hours(1)};
};

} // namespace masticproxy

#endif
