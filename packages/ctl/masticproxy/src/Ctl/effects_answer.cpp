#include "masticproxy/src/Ctl/effects_answer.h"

#include "masticproxy/src/Ctl/effect_report.h"
#include "masticproxy/src/Ctl/vm_reports.h"

#include <map>

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

vm_effect effectIn(const effects_answer &Answer, std::string_view Name) {
  vm_effect Effect{Answer.Vm, Answer.Unreachable, {}};
  if (!Answer.Unreachable.empty())
    return Effect;
  try {
    for (const nlohmann::json &Profile : Answer.Root.at("profiles"))
      if (Profile.at("name") == Name)
        for (const nlohmann::json &Row : Profile.at("versions"))
          Effect.Versions.push_back(readVersion(Row));
  } catch (const nlohmann::json::exception &) {
    // A VM of an earlier release has no such page.
    return {Answer.Vm, "it gave no usable answer", {}};
  }
  return Effect;
}

} // namespace

std::vector<effects_answer>
masticproxy::readAnswers(std::span<const vm_report> Reports) {
  std::vector<effects_answer> Answers;
  for (const vm_report &Report : Reports) {
    effects_answer Answer{Report.Vm, "", {}};
    if (Report.Reached)
      Answer.Root = nlohmann::json::parse(Report.Text, nullptr, false);
    else
      Answer.Unreachable = Report.Text;
    Answers.push_back(std::move(Answer));
  }
  return Answers;
}

std::vector<vm_effect>
masticproxy::effectsIn(std::span<const effects_answer> Answers,
                       std::string_view Name) {
  std::vector<vm_effect> Vms;
  for (const effects_answer &Answer : Answers)
    Vms.push_back(effectIn(Answer, Name));
  return Vms;
}

std::set<std::string>
masticproxy::profilesIn(std::span<const effects_answer> Answers) {
  std::set<std::string> Names;
  for (const effects_answer &Answer : Answers) {
    if (!Answer.Root.is_object() || !Answer.Root.contains("profiles"))
      continue;
    for (const nlohmann::json &Profile : Answer.Root["profiles"])
      if (Profile.is_object() && Profile.contains("name") &&
          Profile["name"].is_string())
        Names.insert(Profile["name"].get<std::string>());
  }
  return Names;
}
