#include "masticproxy/src/Routing/window_budget.h"

using namespace masticproxy;

bool window_budget::takeHedge(time_point Now) {
  bucket Sum = sum(Now);
  double Allowed = allowed(Sum);
  bool Granted = Sum.Hedges + 1 <= Limits.HedgePart * Allowed &&
                 Sum.Hedges + Sum.Retries + 1 <= Allowed;
  if (Granted)
    ++bucketAt(Now).Hedges;
  return Granted;
}

bool window_budget::takeRetry(time_point Now) {
  bool Granted = hasRetry(Now);
  if (Granted)
    ++bucketAt(Now).Retries;
  return Granted;
}

bool window_budget::hasRetry(time_point Now) const {
  bucket Sum = sum(Now);
  return Sum.Hedges + Sum.Retries + 1 <= allowed(Sum);
}

std::int64_t window_budget::bucketNumberAt(time_point Now) const {
  return Now.time_since_epoch() / (Limits.Window / BucketsPerWindow);
}

window_budget::bucket &window_budget::bucketAt(time_point Now) {
  std::int64_t Number = bucketNumberAt(Now);
  bucket &Bucket = Buckets[static_cast<std::size_t>(Number) % Buckets.size()];
  if (Bucket.Number != Number)
    Bucket = {.Number = Number};
  return Bucket;
}

// The oldest bucket lies only partly within the window. Its further attempts
// are counted and its first ones are not, so that the bound holds for any
// window.
window_budget::bucket window_budget::sum(time_point Now) const {
  std::int64_t Newest = bucketNumberAt(Now);
  bucket Sum;
  for (const bucket &Bucket : Buckets) {
    if (Bucket.Number < Newest - BucketsPerWindow)
      continue;
    Sum.Hedges += Bucket.Hedges;
    Sum.Retries += Bucket.Retries;
    if (Bucket.Number > Newest - BucketsPerWindow)
      Sum.First += Bucket.First;
  }
  return Sum;
}

double window_budget::allowed(const bucket &Sum) const {
  return Limits.Base + Limits.Share * Sum.First;
}
