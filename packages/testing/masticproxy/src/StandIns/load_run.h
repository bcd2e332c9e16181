#ifndef MASTICPROXY_STANDINS_LOAD_RUN_H
#define MASTICPROXY_STANDINS_LOAD_RUN_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace masticproxy {

/// \brief What a load run sends.
struct load_plan {
  /// Addresses of the entry VMs, asked in turn.
  std::vector<std::string> Targets;
  std::string Index;
  std::string Profile;
  std::string Body = "{}";
  /// Requests a second, due at even intervals whatever the answers do.
  double Rate = 100;
  std::chrono::milliseconds Length{5000};
  std::chrono::milliseconds Timeout{5000};
  /// Whether the figures hold every latency, so that runs can be pooled.
  bool Samples = false;
};

/// \brief What a load run saw.
struct load_result {
  /// Latency of each request in microseconds, counted from when it was due.
  std::vector<std::int64_t> Latencies;
  /// Number of outcomes by code.
  std::map<std::string, std::uint64_t> Codes;
  /// Sum of the coverage shares of answers.
  double CoverageSum = 0;
};

/// Runs \p Plan as an open loop on the calling thread.
load_result runLoad(const load_plan &Plan);

/// \returns figures of \p Result as one JSON object.
std::string toJson(const load_plan &Plan, const load_result &Result);

} // namespace masticproxy

#endif
