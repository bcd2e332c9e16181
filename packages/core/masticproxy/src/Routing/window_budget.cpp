#include "masticproxy/src/Routing/window_budget.h"

using namespace masticproxy;

bool window_budget::takeHedge(time_point Now) {
  slot Sum = sum(Now);
  double Allowed = allowed(Sum);
  bool Within = Sum.Hedges + 1 <= Limits.HedgePart * Allowed &&
                Sum.Hedges + Sum.Retries + 1 <= Allowed;
  if (Within)
    ++slotAt(Now).Hedges;
  return Within;
}

bool window_budget::takeRetry(time_point Now) {
  bool Within = hasRetry(Now);
  if (Within)
    ++slotAt(Now).Retries;
  return Within;
}

bool window_budget::hasRetry(time_point Now) const {
  slot Sum = sum(Now);
  return Sum.Hedges + Sum.Retries + 1 <= allowed(Sum);
}

std::int64_t window_budget::numberAt(time_point Now) const {
  return Now.time_since_epoch() / (Limits.Window / Slots);
}

window_budget::slot &window_budget::slotAt(time_point Now) {
  std::int64_t Number = numberAt(Now);
  slot &Slot = Ring[static_cast<std::size_t>(Number) % Ring.size()];
  if (Slot.Number != Number)
    Slot = {.Number = Number};
  return Slot;
}

// Of the oldest part only a piece lies within the window. Its further attempts
// are counted and its first ones are not, so that the bound holds for any span.
window_budget::slot window_budget::sum(time_point Now) const {
  std::int64_t Newest = numberAt(Now);
  slot Sum;
  for (const slot &Slot : Ring) {
    if (Slot.Number < Newest - Slots)
      continue;
    Sum.Hedges += Slot.Hedges;
    Sum.Retries += Slot.Retries;
    if (Slot.Number > Newest - Slots)
      Sum.First += Slot.First;
  }
  return Sum;
}

double window_budget::allowed(const slot &Sum) const {
  return Limits.Base + Limits.Share * Sum.First;
}
