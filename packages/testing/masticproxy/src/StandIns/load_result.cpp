#include "masticproxy/src/StandIns/load_result.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/indexed.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

using namespace masticproxy;

namespace {

/// Bins of equal ratio, from 10 us to 100 s.
constexpr unsigned BinsPerDecade = 20;
constexpr unsigned Decades = 7;
constexpr double LeastMicroseconds = 10;
constexpr double GreatestMicroseconds = 1e8;

double quantileMs(const std::vector<std::int64_t> &Sorted, double Share) {
  if (Sorted.empty())
    return 0;
  auto Rank = static_cast<std::size_t>(
      std::ceil(Share * static_cast<double>(Sorted.size())));
  std::size_t Position = Rank == 0 ? 0 : Rank - 1;
  return static_cast<double>(Sorted[Position]) / 1000.0;
}

nlohmann::json histogramJson(const std::vector<std::int64_t> &Latencies) {
  namespace bh = boost::histogram;
  auto Histogram =
      bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(
          BinsPerDecade * Decades, LeastMicroseconds, GreatestMicroseconds));
  for (std::int64_t Latency : Latencies)
    Histogram(std::max(static_cast<double>(Latency), LeastMicroseconds));
  nlohmann::json Bins = nlohmann::json::array();
  for (auto &&Bin : bh::indexed(Histogram, bh::coverage::all))
    if (*Bin > 0)
      Bins.push_back({{"from_us", std::llround(Bin.bin().lower())},
                      {"count", static_cast<std::uint64_t>(*Bin)}});
  return Bins;
}

} // namespace

std::string masticproxy::toJson(double Rate, const load_result &Result,
                                bool Samples) {
  std::vector<std::int64_t> Sorted = Result.Latencies;
  std::sort(Sorted.begin(), Sorted.end());
  auto Found = Result.Codes.find("answered");
  std::uint64_t Answered = Found == Result.Codes.end() ? 0 : Found->second;
  double Coverage =
      Answered == 0 ? 0 : Result.CoverageSum / static_cast<double>(Answered);
  nlohmann::json Root = {{"rate_per_s", Rate},
                         {"requests", Sorted.size()},
                         {"codes", Result.Codes},
                         {"mean_coverage", Coverage},
                         {"p50_ms", quantileMs(Sorted, 0.50)},
                         {"p99_ms", quantileMs(Sorted, 0.99)},
                         {"p999_ms", quantileMs(Sorted, 0.999)},
                         {"max_ms", quantileMs(Sorted, 1.0)},
                         {"processor_us", Result.ProcessorTime.count()},
                         {"histogram", histogramJson(Sorted)}};
  if (Samples)
    Root["latencies_us"] = Result.Latencies;
  return Root.dump(2) + "\n";
}
