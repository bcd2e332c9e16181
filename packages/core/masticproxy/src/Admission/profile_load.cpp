#include "masticproxy/src/Admission/profile_load.h"

#include <algorithm>

using namespace masticproxy;

namespace {

/// Shortest window over which answers are counted; the window of a profile with
/// a longer wait is as long as that wait.
constexpr std::chrono::seconds MinWindow{1};

/// Smallest limit. Some requests must be admitted even when none is answered,
/// so that the rate of answers is measured again.
constexpr std::size_t MinLimit = 2;

/// Share of the wait within which all requests in flight must be answerable;
/// sets the limit when a request was late.
constexpr double UsableShare = 0.7;

/// Share of the wait below which an answer is quick. A quick answer shows spare
/// capacity and raises the limit by one.
constexpr double QuickShare = 0.4;

/// Share of the wait from which a request without an answer counts as late. One
/// that ends earlier failed for a reason other than load.
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
  // By Little's law, the newest of N requests in flight ends after N / rate.
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
