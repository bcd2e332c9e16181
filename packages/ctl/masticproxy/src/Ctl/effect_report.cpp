#include "masticproxy/src/Ctl/effect_report.h"

#include "masticproxy/src/Ctl/ctl_error.h"
#include "masticproxy/src/Ctl/vm_reports.h"

#include <nlohmann/json.hpp>

#include <algorithm>

using namespace masticproxy;

namespace {

using counts = std::map<std::string, std::uint64_t>;

version_summary readSummary(const nlohmann::json &Row) {
  version_summary Summary;
  Summary.Requests = Row.at("requests").get<std::uint64_t>();
  Summary.Outcomes = Row.at("outcomes").get<counts>();
  Summary.Refusals = Row.at("refusals").get<counts>();
  for (const nlohmann::json &Bucket : Row.at("latency"))
    Summary.Latency.add(
        std::chrono::microseconds(Bucket.at("le_us").get<std::int64_t>()),
        Bucket.at("count").get<std::uint64_t>());
  Summary.WithCoverage = Row.at("with_coverage").get<std::uint64_t>();
  Summary.CoverageSum = Row.at("coverage_sum").get<double>();
  Summary.Shards = Row.at("shards").get<std::uint64_t>();
  Summary.Attempts = Row.at("attempts").get<std::uint64_t>();
  return Summary;
}

profile_version readVersion(const nlohmann::json &Row) {
  profile_version Version;
  Version.Version = Row.at("version").get<std::uint64_t>();
  Version.Since = std::chrono::microseconds(
      Row.at("in_force_since_us").get<std::int64_t>());
  Version.Text = Row.at("text").get<std::string>();
  Version.Summary = readSummary(Row);
  return Version;
}

void mergeVersion(std::span<const vm_effect> Vms, std::uint64_t Version,
                  version_summary &Into) {
  for (const vm_effect &Vm : Vms)
    if (const profile_version *Found = Vm.find(Version))
      Into.merge(Found->Summary);
}

} // namespace

const profile_version *vm_effect::find(std::uint64_t Version) const {
  for (const profile_version &Kept : Versions)
    if (Kept.Version == Version)
      return &Kept;
  return nullptr;
}

vm_effect masticproxy::readEffect(const vm_report &Report,
                                  std::string_view Name) {
  vm_effect Effect{Report.Vm, "", {}};
  if (!Report.Reached) {
    Effect.Unreachable = Report.Text;
    return Effect;
  }
  try {
    nlohmann::json Root = nlohmann::json::parse(Report.Text);
    for (const nlohmann::json &Profile : Root.at("profiles"))
      if (Profile.at("name") == Name)
        for (const nlohmann::json &Row : Profile.at("versions"))
          Effect.Versions.push_back(readVersion(Row));
  } catch (const nlohmann::json::exception &) {
    // A VM of an earlier release has no such page.
    return {Report.Vm, "it gave no usable answer", {}};
  }
  return Effect;
}

std::vector<profile_version>
masticproxy::versionsOf(std::span<const vm_effect> Vms) {
  std::map<std::uint64_t, profile_version> ByVersion;
  for (const vm_effect &Vm : Vms)
    for (const profile_version &Version : Vm.Versions)
      ByVersion.emplace(Version.Version, Version);
  std::vector<profile_version> Versions;
  Versions.reserve(ByVersion.size());
  for (auto &[Number, Version] : ByVersion)
    Versions.push_back(std::move(Version));
  return Versions;
}

std::optional<profile_effect>
masticproxy::effectOf(std::span<const vm_effect> Vms) {
  std::vector<profile_version> Versions = versionsOf(Vms);
  if (Versions.empty())
    return std::nullopt;
  profile_effect Effect;
  Effect.AfterVersion = Versions.back().Version;
  mergeVersion(Vms, Effect.AfterVersion, Effect.After);
  if (Versions.size() == 1)
    return Effect;
  Effect.BeforeVersion = Versions[Versions.size() - 2].Version;
  mergeVersion(Vms, Effect.BeforeVersion, Effect.Before);
  return Effect;
}

void masticproxy::throwIfUnreached(std::span<const vm_effect> Vms) {
  std::string Unreached;
  for (const vm_effect &Vm : Vms)
    if (!Vm.Unreachable.empty())
      Unreached += " " + Vm.Vm;
  if (!Unreached.empty())
    throw ctl_error(ctl_exit::Unreachable, "nothing known from:" + Unreached);
}

std::set<std::string>
masticproxy::profilesIn(std::span<const vm_report> Reports) {
  std::set<std::string> Names;
  for (const vm_report &Report : Reports) {
    nlohmann::json Root = nlohmann::json::parse(Report.Text, nullptr, false);
    if (!Report.Reached || !Root.is_object() || !Root.contains("profiles"))
      continue;
    for (const nlohmann::json &Profile : Root["profiles"])
      if (Profile.is_object() && Profile.contains("name") &&
          Profile["name"].is_string())
        Names.insert(Profile["name"].get<std::string>());
  }
  return Names;
}
