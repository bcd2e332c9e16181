#ifndef MASTICPROXY_ADMISSION_PROFILE_LOAD_H
#define MASTICPROXY_ADMISSION_PROFILE_LOAD_H

#include "masticproxy/src/Base/clock.h"

#include <cstddef>
#include <limits>

namespace masticproxy {

/// \brief The load of one profile: its requests in flight, the rate at which
/// they are answered, and the limit up to which they are answered in time.
class profile_load {
public:
  /// Called when a request has been admitted.
  void onRequestStarted() { ++Running; }

  /// Called when a request that may take \p Wait has ended at \p Now after
  /// \p Elapsed.
  void onRequestFinished(duration Elapsed, duration Wait, bool Answered,
                         time_point Now);

  /// \returns the number of requests in flight.
  std::size_t running() const { return Running; }

  /// \returns whether one more request is likely to be answered in time.
  bool isBelowLimit() const { return Running < Limit; }

private:
  void rollWindow(duration Window, time_point Now);
  std::size_t answersWithin(duration Span, duration Window,
                            time_point Now) const;

  std::size_t Running = 0;
  /// Maximum number of requests in flight; without bound until a request was
  /// late.
  std::size_t Limit = std::numeric_limits<std::size_t>::max();
  /// Answers since WindowStart and in the window before it.
  std::size_t Answers = 0;
  std::size_t PreviousAnswers = 0;
  time_point WindowStart{};
};

} // namespace masticproxy

#endif
