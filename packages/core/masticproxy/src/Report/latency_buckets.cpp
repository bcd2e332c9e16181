#include "masticproxy/src/Report/latency_buckets.h"

#include <algorithm>
#include <cmath>

using namespace masticproxy;

namespace {

/// Upper edge of the first bucket, in microseconds.
constexpr double FirstEdge = 100;

/// Ratio of two neighbouring edges.
constexpr double EdgeRatio = 1.05;

} // namespace

const latency_buckets::edge_list &latency_buckets::edges() {
  // Whole microseconds, so that an edge that was printed and read again falls
  // into its own bucket.
  static const edge_list Edges = [] {
    edge_list List{};
    for (std::size_t I = 0; I < BucketCount; ++I)
      List[I] = std::chrono::microseconds(static_cast<std::int64_t>(
          FirstEdge * std::pow(EdgeRatio, static_cast<double>(I))));
    return List;
  }();
  return Edges;
}

void latency_buckets::add(duration Latency, std::uint64_t Count) {
  const edge_list &Edges = edges();
  auto Found = std::lower_bound(Edges.begin(), Edges.end() - 1, Latency);
  Counts[static_cast<std::size_t>(Found - Edges.begin())] += Count;
  Total += Count;
}

void latency_buckets::merge(const latency_buckets &Other) {
  for (std::size_t I = 0; I < BucketCount; ++I)
    Counts[I] += Other.Counts[I];
  Total += Other.Total;
}

std::optional<std::chrono::microseconds>
latency_buckets::quantile(double Share) const {
  if (Total == 0)
    return std::nullopt;
  auto Rank =
      static_cast<std::uint64_t>(std::ceil(Share * static_cast<double>(Total)));
  std::uint64_t Below = 0;
  for (std::size_t I = 0; I < BucketCount; ++I) {
    Below += Counts[I];
    if (Below >= Rank && Below > 0)
      return edges()[I];
  }
  return edges().back();
}

std::vector<latency_buckets::bucket> latency_buckets::filled() const {
  std::vector<bucket> Buckets;
  for (std::size_t I = 0; I < BucketCount; ++I)
    if (Counts[I] > 0)
      Buckets.push_back({edges()[I], Counts[I]});
  return Buckets;
}
