#ifndef MASTICPROXY_REPORT_VERSION_SUMMARY_H
#define MASTICPROXY_REPORT_VERSION_SUMMARY_H

#include "masticproxy/src/Report/latency_buckets.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace masticproxy {

/// \brief What became of the requests under one version of a profile.
struct version_summary {
  /// Reasons kept apart; further ones are counted as "other".
  static constexpr std::size_t MaxReasons = 8;

  /// Requests that ended.
  std::uint64_t Requests = 0;
  /// How many ended with each outcome's code.
  std::map<std::string, std::uint64_t> Outcomes;
  /// How many were not run for each reason.
  std::map<std::string, std::uint64_t> Refusals;
  /// Of the requests that were taken on; one refused at once has none.
  latency_buckets Latency;
  /// Requests that were told a coverage, and the sum of these coverages.
  std::uint64_t WithCoverage = 0;
  double CoverageSum = 0;
  /// Shards that the requests asked, and attempts sent for them.
  std::uint64_t Shards = 0;
  std::uint64_t Attempts = 0;

  /// Counts \p Count requests that were not run for \p Reason.
  void addRefusals(const std::string &Reason, std::uint64_t Count);

  /// Adds all that \p Other counted.
  void merge(const version_summary &Other);
};

} // namespace masticproxy

#endif
