#include "masticproxy/src/Routing/attempt_rate.h"

#include <cmath>

using namespace masticproxy;

namespace {

/// Time in which the weight of an attempt falls to 1/e.
constexpr std::chrono::duration<double> DecayTime{5};

} // namespace

void attempt_rate::add(time_point Now) {
  Weighted = perSecond(Now) * DecayTime.count() + 1;
  UpdatedAt = Now;
}

double attempt_rate::perSecond(time_point Now) const {
  std::chrono::duration<double> Age = Now - UpdatedAt;
  return Weighted * std::exp(-Age / DecayTime) / DecayTime.count();
}
