#include "masticproxy/src/Routing/latency_histogram.h"

#include <algorithm>
#include <cmath>

using namespace masticproxy;

namespace {

/// Upper edge of the first bucket.
constexpr std::chrono::microseconds FirstEdge{100};

/// Ratio of two neighbouring edges.
constexpr double EdgeRatio = 1.1;

/// Weight of all latencies below which quantile() returns nothing.
constexpr double MinTotal = 50;

/// Weight of all latencies at which all counts are halved.
constexpr double DecayTotal = 2000;

double microseconds(duration Span) {
  return std::chrono::duration<double, std::micro>(Span).count();
}

} // namespace

void latency_histogram::add(duration Latency) {
  Counts[bucketOf(Latency)] += 1;
  Total += 1;
  if (Total < DecayTotal)
    return;
  for (double &Count : Counts)
    Count /= 2;
  Total /= 2;
}

std::optional<duration> latency_histogram::quantile(double Share) const {
  if (Total < MinTotal)
    return std::nullopt;
  double Sum = 0;
  std::size_t Bucket = 0;
  for (; Bucket + 1 < BucketCount; ++Bucket) {
    Sum += Counts[Bucket];
    if (Sum >= Share * Total)
      break;
  }
  std::chrono::duration<double, std::micro> Edge(
      microseconds(FirstEdge) *
      std::pow(EdgeRatio, static_cast<double>(Bucket)));
  return std::chrono::duration_cast<duration>(Edge);
}

std::size_t latency_histogram::bucketOf(duration Latency) {
  double Ratio = microseconds(Latency) / microseconds(FirstEdge);
  if (Ratio <= 1.0)
    return 0;
  double Bucket = std::ceil(std::log(Ratio) / std::log(EdgeRatio));
  return static_cast<std::size_t>(
      std::min(Bucket, static_cast<double>(BucketCount - 1)));
}
