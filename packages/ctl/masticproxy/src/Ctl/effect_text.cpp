#include "masticproxy/src/Ctl/effect_text.h"

#include "masticproxy/src/Ctl/effect_report.h"
#include "masticproxy/src/Ctl/time_text.h"
#include "masticproxy/src/Settings/profile_difference.h"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <ostream>
#include <sstream>

using namespace masticproxy;

namespace {

constexpr int NameWidth = 28;
constexpr int ValueWidth = 16;
constexpr int VmWidth = 24;
constexpr double Median = 0.5;
constexpr double Tail = 0.99;
constexpr double Percent = 100;
constexpr std::size_t MillisecondDigits = 3;
constexpr const char *NoValue = "-";

/// \returns \p Sum / \p Count, or nothing where that has no value.
std::optional<double> mean(double Sum, std::uint64_t Count) {
  if (Count == 0)
    return std::nullopt;
  return Sum / static_cast<double>(Count);
}

std::string number(std::optional<double> Value, int Digits,
                   std::string_view Unit) {
  if (!Value)
    return NoValue;
  std::ostringstream Out;
  Out << std::fixed << std::setprecision(Digits) << *Value << Unit;
  return Out.str();
}

std::optional<double> quantileMs(const version_summary &Summary, double Share) {
  auto Quantile = Summary.Latency.quantile(Share);
  if (!Quantile)
    return std::nullopt;
  return std::chrono::duration<double, std::milli>(*Quantile).count();
}

std::optional<double> meanCoverage(const version_summary &Summary) {
  return mean(Summary.CoverageSum, Summary.WithCoverage);
}

std::optional<double> attemptsPerShard(const version_summary &Summary) {
  return mean(static_cast<double>(Summary.Attempts), Summary.Shards);
}

std::string coverageText(const version_summary &Summary) {
  std::optional<double> Mean = meanCoverage(Summary);
  return Mean ? number(*Mean * Percent, 1, " %") : NoValue;
}

using counts = std::map<std::string, std::uint64_t>;

/// Adds a row for each key of either side.
void addCounts(const std::string &Prefix, const counts &Before,
               const counts &After, std::vector<effect_row> &Rows) {
  counts All = Before;
  All.insert(After.begin(), After.end());
  auto Text = [](const counts &Counts, const std::string &Key) {
    auto Found = Counts.find(Key);
    return std::to_string(Found == Counts.end() ? 0 : Found->second);
  };
  for (const auto &[Key, Count] : All)
    Rows.push_back({Prefix + Key, Text(Before, Key), Text(After, Key)});
}

void printRow(const effect_row &Row, std::ostream &Out) {
  Out << "  " << std::left << std::setw(NameWidth) << Row.Name << std::right
      << std::setw(ValueWidth) << Row.Before << std::setw(ValueWidth)
      << Row.After << "\n";
}

template <typename Value> nlohmann::json orNull(std::optional<Value> Number) {
  return Number ? nlohmann::json(*Number) : nlohmann::json();
}

nlohmann::json summaryJson(std::uint64_t Version,
                           const version_summary &Summary) {
  return {{"version", Version},
          {"requests", Summary.Requests},
          {"p50_ms", orNull(quantileMs(Summary, Median))},
          {"p99_ms", orNull(quantileMs(Summary, Tail))},
          {"mean_coverage", orNull(meanCoverage(Summary))},
          {"attempts_per_shard", orNull(attemptsPerShard(Summary))},
          {"outcomes", Summary.Outcomes},
          {"refusals", Summary.Refusals}};
}

} // namespace

void masticproxy::printDifferences(const profile_version &Left,
                                   const profile_version &Right,
                                   std::ostream &Out) {
  if (Left.Text.empty() || Right.Text.empty()) {
    Out << "  " << (Right.Text.empty() ? "deleted" : "made again") << "\n";
    return;
  }
  std::vector<profile_difference> Fields =
      compareProfiles(Left.Text, Right.Text);
  for (const profile_difference &Field : Fields)
    Out << "  " << Field.Key << ": " << Field.Left << " -> " << Field.Right
        << "\n";
  if (Fields.empty())
    Out << "  no value that VMs apply differs\n";
}

nlohmann::json masticproxy::differencesJson(const profile_version &Left,
                                            const profile_version &Right) {
  nlohmann::json Rows = nlohmann::json::array();
  if (Left.Text.empty() || Right.Text.empty())
    return Rows;
  for (const profile_difference &Field : compareProfiles(Left.Text, Right.Text))
    Rows.push_back(
        {{"key", Field.Key}, {"before", Field.Left}, {"after", Field.Right}});
  return Rows;
}

std::vector<effect_row> masticproxy::effectRows(const profile_effect &Effect) {
  const version_summary &Before = Effect.Before;
  const version_summary &After = Effect.After;
  std::vector<effect_row> Rows{
      {"requests", std::to_string(Before.Requests),
       std::to_string(After.Requests)},
      {"latency p50", number(quantileMs(Before, Median), 1, " ms"),
       number(quantileMs(After, Median), 1, " ms")},
      {"latency p99", number(quantileMs(Before, Tail), 1, " ms"),
       number(quantileMs(After, Tail), 1, " ms")},
      {"coverage, mean", coverageText(Before), coverageText(After)},
      {"attempts per shard", number(attemptsPerShard(Before), 3, ""),
       number(attemptsPerShard(After), 3, "")}};
  addCounts("", Before.Outcomes, After.Outcomes, Rows);
  addCounts("not_run: ", Before.Refusals, After.Refusals, Rows);
  return Rows;
}

void masticproxy::printEffect(const profile_effect &Effect, std::ostream &Out) {
  printRow({"", "before", "after"}, Out);
  for (const effect_row &Row : effectRows(Effect))
    printRow(Row, Out);
}

void masticproxy::printVms(std::span<const vm_effect> Vms,
                           std::uint64_t Version, std::ostream &Out) {
  for (const vm_effect &Vm : Vms) {
    Out << "  " << std::left << std::setw(VmWidth) << Vm.Vm;
    if (!Vm.Unreachable.empty())
      Out << "unreachable: " << Vm.Unreachable << "\n";
    else if (const profile_version *Found = Vm.find(Version))
      Out << "since " << wallTimeText(Found->Since, MillisecondDigits) << "\n";
    else if (Vm.Versions.empty())
      Out << "not in force\n";
    else
      Out << (Vm.Versions.back().Version < Version ? "not yet" : "forgotten")
          << ", it has version " << Vm.Versions.back().Version << "\n";
  }
}

nlohmann::json masticproxy::effectJson(const profile_effect &Effect) {
  nlohmann::json Before;
  if (Effect.BeforeVersion != 0)
    Before = summaryJson(Effect.BeforeVersion, Effect.Before);
  return {{"before", Before},
          {"after", summaryJson(Effect.AfterVersion, Effect.After)}};
}

nlohmann::json masticproxy::vmsJson(std::span<const vm_effect> Vms,
                                    std::uint64_t Version) {
  nlohmann::json Rows = nlohmann::json::array();
  for (const vm_effect &Vm : Vms) {
    const profile_version *Found = Vm.find(Version);
    nlohmann::json Newest;
    if (!Vm.Versions.empty())
      Newest = Vm.Versions.back().Version;
    Rows.push_back(
        {{"vm", Vm.Vm},
         {"reached", Vm.Unreachable.empty()},
         {"reason", Vm.Unreachable},
         {"version", Newest},
         {"in_force_since_us",
          Found ? nlohmann::json(Found->Since.count()) : nlohmann::json()}});
  }
  return Rows;
}
