#ifndef MASTICPROXY_BASE_CLOCK_H
#define MASTICPROXY_BASE_CLOCK_H

#include <chrono>

namespace masticproxy {

/// Instants used by all decisions; monotonic, never wall time.
using time_point = std::chrono::steady_clock::time_point;

/// Spans of time used by all decisions.
using duration = std::chrono::steady_clock::duration;

/// \brief Source of time, passed in so that tests choose the instant.
class clock {
public:
  virtual ~clock() = default;

  /// \returns the current monotonic instant.
  virtual time_point now() const = 0;

  /// \returns the current wall time, in microseconds since 1970; it may jump.
  virtual std::chrono::microseconds wallTime() const = 0;
};

} // namespace masticproxy

#endif
