#include "masticproxy/src/Daemon/effect_log.h"

#include <nlohmann/json.hpp>

using namespace masticproxy;

namespace {

nlohmann::json bucketsJson(const latency_buckets &Buckets) {
  nlohmann::json Rows = nlohmann::json::array();
  for (const latency_buckets::bucket &Bucket : Buckets.filled())
    Rows.push_back({{"le_us", Bucket.Edge.count()}, {"count", Bucket.Count}});
  return Rows;
}

nlohmann::json versionJson(const profile_version &Version) {
  const version_summary &Summary = Version.Summary;
  return {{"version", Version.Version},
          {"in_force_since_us", Version.Since.count()},
          {"text", Version.Text},
          {"requests", Summary.Requests},
          {"outcomes", Summary.Outcomes},
          {"refusals", Summary.Refusals},
          {"latency", bucketsJson(Summary.Latency)},
          {"with_coverage", Summary.WithCoverage},
          {"coverage_sum", Summary.CoverageSum},
          {"shards", Summary.Shards},
          {"attempts", Summary.Attempts}};
}

nlohmann::json profileJson(const std::string &Name,
                           const std::vector<profile_version> &Kept) {
  nlohmann::json Versions = nlohmann::json::array();
  for (const profile_version &Version : Kept)
    Versions.push_back(versionJson(Version));
  return {{"name", Name}, {"versions", Versions}};
}

} // namespace

void effect_log::inForce(const std::string &Name, std::uint64_t Version,
                         std::chrono::microseconds Since, std::string Text) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Summaries.inForce(Name, Version, Since, std::move(Text));
}

void effect_log::ended(const query_account &Account,
                       const query_outcome &Outcome) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Summaries.ended(Account, Outcome);
}

std::string effect_log::toJson(std::string_view Name) const {
  profile_summaries::version_map Copy;
  {
    // The engine waits for this lock, so it is held for the copy only.
    std::lock_guard<std::mutex> Lock(Mutex);
    auto Found = Summaries.versions().find(Name);
    if (Name.empty())
      Copy = Summaries.versions();
    else if (Found != Summaries.versions().end())
      Copy.insert(*Found);
  }
  nlohmann::json Profiles = nlohmann::json::array();
  for (const auto &[Profile, Kept] : Copy)
    Profiles.push_back(profileJson(Profile, Kept));
  return nlohmann::json({{"profiles", Profiles}}).dump() + "\n";
}
