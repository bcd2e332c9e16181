#ifndef MASTICPROXY_ADMISSION_PROFILE_LOAD_H
#define MASTICPROXY_ADMISSION_PROFILE_LOAD_H

#include "masticproxy/src/Base/clock.h"

#include <cstddef>
#include <limits>

namespace masticproxy {

/// \brief The requests of one profile: how many are under way, how fast they
/// are answered, and how many may be under way to be answered in time.
class profile_load {
public:
  /// Notes that a request starts.
  void onRequestStarted() { ++Running; }

  /// Notes that a request that may take \p Wait ends at \p Now after \p Took.
  void onRequestFinished(duration Elapsed, duration Wait, bool Answered,
                         time_point Now);

  /// \returns the requests under way.
  std::size_t running() const { return Running; }

  /// \returns whether one more request is likely to be answered in time.
  bool isBelowLimit() const { return Running < Limit; }

private:
  void rollWindow(duration Window, time_point Now);
  std::size_t answersWithin(duration Span, duration Window,
                            time_point Now) const;

  std::size_t Running = 0;
  /// Without bound until a request was late.
  std::size_t Limit = std::numeric_limits<std::size_t>::max();
  /// Answers since WindowStart, and in the window before it.
  std::size_t Answers = 0;
  std::size_t PreviousAnswers = 0;
  time_point WindowStart{};
};

} // namespace masticproxy

#endif
