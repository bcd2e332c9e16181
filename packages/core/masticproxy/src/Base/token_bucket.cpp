#include "masticproxy/src/Base/token_bucket.h"

#include <algorithm>

using namespace masticproxy;

token_bucket::token_bucket(const clock &Clock, duration Interval,
                           unsigned Burst)
    : Clock(Clock), Interval(Interval), MostSaved(Interval * Burst),
      EmptyAt(Clock.now() - MostSaved) {}

bool token_bucket::take() {
  time_point Now = Clock.now();
  EmptyAt = std::max(EmptyAt, Now - MostSaved);
  if (Now - EmptyAt < Interval)
    return false;
  EmptyAt += Interval;
  return true;
}

duration token_bucket::untilNext() const {
  return std::max(duration::zero(), EmptyAt + Interval - Clock.now());
}
