#include "masticproxy/src/Base/retry_backoff.h"

#include <algorithm>

using namespace masticproxy;

namespace {

constexpr unsigned MaxDoublings = 20;

} // namespace

duration retry_backoff::onFailure(double Random) {
  unsigned Doublings = std::min(Failures, MaxDoublings);
  ++Failures;
  duration Pause = std::min(Longest, First * (1U << Doublings));
  // Half is certain, so that no caller retries at once; half is spread.
  auto Spread = static_cast<double>((Pause / 2).count()) * Random;
  return Pause / 2 + duration(static_cast<duration::rep>(Spread));
}
