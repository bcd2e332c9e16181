#include "masticproxy/src/Admission/profile_load.h"

#include <algorithm>

using namespace masticproxy;

namespace {

/// Shortest time over which answers are counted; longer waits count longer.
constexpr std::chrono::seconds MinWindow{1};

/// Least limit, so that the rate is seen again after a standstill.
constexpr std::size_t MinLimit = 2;

/// Share of the wait that requests under way may take up after one was late.
constexpr double UsableShare = 0.7;

/// Share of the wait below which an answer is quick, so that there is room for
/// more requests.
constexpr double QuickShare = 0.4;

/// Share of the wait from which a request without an answer is late; one that
/// ends earlier failed for another reason than load.
constexpr double LateShare = 0.9;

double ratio(duration Part, duration Whole) {
  return std::chrono::duration<double>(Part) /
         std::chrono::duration<double>(Whole);
}

} // namespace

void profile_load::onRequestFinished(duration Elapsed, duration Wait,
                                     bool Answered, time_point Now) {
  if (Running > 0)
    --Running;
  duration Window = std::max<duration>(MinWindow, Wait);
  rollWindow(Window, Now);
  if (Answered) {
    ++Answers;
    bool Bounded = Limit != std::numeric_limits<std::size_t>::max();
    if (Bounded && ratio(Elapsed, Wait) < QuickShare)
      ++Limit;
    return;
  }
  if (ratio(Elapsed, Wait) < LateShare)
    return;
  // By Little's law the newest of N requests ends after N / rate.
  duration Usable = std::chrono::duration_cast<duration>(Wait * UsableShare);
  Limit =
      std::max(MinLimit, std::min(Limit, answersWithin(Usable, Window, Now)));
}

void profile_load::rollWindow(duration Window, time_point Now) {
  if (Now - WindowStart < Window)
    return;
  bool IsAdjacent = Now - WindowStart < 2 * Window;
  PreviousAnswers = IsAdjacent ? Answers : 0;
  Answers = 0;
  WindowStart = IsAdjacent ? WindowStart + Window : Now;
}

std::size_t profile_load::answersWithin(duration Span, duration Window,
                                        time_point Now) const {
  duration Observed = Now - WindowStart + Window;
  auto Total = static_cast<double>(Answers + PreviousAnswers);
  return static_cast<std::size_t>(Total * ratio(Span, Observed));
}
