#include "masticproxy/src/Poison/poison_timing.h"

#include <algorithm>

using namespace masticproxy;

namespace {

/// Rounds after which the time no longer grows: by then it is longer than a
/// day.
constexpr unsigned LastGrowth = 6;

} // namespace

// A query that is tried again each time its condemnation ends would crash
// upstreams without end. Growth by 4 leaves three tries in the day after the
// third round.
std::chrono::milliseconds poison_timing::condemnedFor(unsigned Rounds) const {
  if (Rounds < RoundsToCondemn)
    return std::chrono::milliseconds(0);
  std::chrono::milliseconds Span = CondemnFor;
  for (unsigned I = RoundsToCondemn; I < std::min(Rounds, LastGrowth); ++I)
    Span *= CondemnGrowth;
  return Span;
}
