#include "masticproxy/src/Report/version_summary.h"

using namespace masticproxy;

void version_summary::addRefusals(const std::string &Reason,
                                  std::uint64_t Count) {
  bool Kept = Refusals.contains(Reason) || Refusals.size() < MaxReasons;
  Refusals[Kept ? Reason : "other"] += Count;
}

void version_summary::merge(const version_summary &Other) {
  Requests += Other.Requests;
  for (const auto &[Code, Count] : Other.Outcomes)
    Outcomes[Code] += Count;
  for (const auto &[Reason, Count] : Other.Refusals)
    addRefusals(Reason, Count);
  Latency.merge(Other.Latency);
  WithCoverage += Other.WithCoverage;
  CoverageSum += Other.CoverageSum;
  Shards += Other.Shards;
  Attempts += Other.Attempts;
}
