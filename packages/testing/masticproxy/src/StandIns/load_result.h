#ifndef MASTICPROXY_STANDINS_LOAD_RESULT_H
#define MASTICPROXY_STANDINS_LOAD_RESULT_H

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace masticproxy {

/// \brief What a load run saw.
struct load_result {
  /// Latency of each request in microseconds, counted from when it was due; of
  /// an unfinished one, as long as the run lasted.
  std::vector<std::int64_t> Latencies;
  /// Number of outcomes by code.
  std::map<std::string, std::uint64_t> Codes;
  /// Sum of the coverage shares of answers.
  double CoverageSum = 0;
  /// Processor time that the run itself took.
  std::chrono::microseconds ProcessorTime{0};
};

/// \returns figures and the histogram of latencies as one JSON object, and
/// every latency where \p Samples.
std::string toJson(double Rate, const load_result &Result,
                   bool Samples = false);

} // namespace masticproxy

#endif
