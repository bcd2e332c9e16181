#include "masticproxy/src/Ctl/timeline_command.h"

#include "masticproxy/src/Ctl/ctl_error.h"
#include "masticproxy/src/Ctl/ctl_options.h"
#include "masticproxy/src/Ctl/vm_reports.h"
#include "masticproxy/src/Net/http_message.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <ostream>
#include <sstream>
#include <tuple>
#include <vector>

using namespace masticproxy;

namespace {

constexpr int VmWidth = 12;
constexpr int KindWidth = 24;
constexpr int TimeWidth = 12;

void readLines(const std::string &Text, std::vector<nlohmann::json> &Into) {
  std::istringstream In(Text);
  for (std::string Line; std::getline(In, Line);) {
    nlohmann::json Event = nlohmann::json::parse(Line, nullptr, false);
    if (Event.is_object())
      Into.push_back(std::move(Event));
  }
}

auto orderOf(const nlohmann::json &Event) {
  return std::tuple(Event.value("us", std::int64_t{0}),
                    Event.value("counter", std::uint32_t{0}),
                    Event.value("vm", ""));
}

void printRow(const nlohmann::json &Event, std::int64_t First,
              std::ostream &Out) {
  double Milliseconds =
      static_cast<double>(Event.value("us", std::int64_t{0}) - First) / 1000.0;
  Out << std::right << std::fixed << std::setprecision(3)
      << std::setw(TimeWidth) << Milliseconds << "  " << std::left
      << std::setw(VmWidth) << Event.value("vm", "") << std::setw(KindWidth)
      << Event.value("kind", "") << Event.value("request_id", "") << "  "
      << Event.value("detail", "") << "\n";
}

} // namespace

void masticproxy::runTimelineCommand(const ctl_options &Options,
                                     std::ostream &Out) {
  std::string Target = "/v1/timeline";
  if (!Options.RequestId.empty())
    Target += "?request=" + percentEncoded(Options.RequestId);
  std::vector<nlohmann::json> Events;
  std::string Unreached;
  for (const vm_report &Report : askVms(Options, Target)) {
    if (Report.Reached)
      readLines(Report.Text, Events);
    else
      Unreached += " " + Report.Vm;
  }
  std::stable_sort(Events.begin(), Events.end(),
                   [](const nlohmann::json &A, const nlohmann::json &B) {
                     return orderOf(A) < orderOf(B);
                   });
  std::int64_t First =
      Events.empty() ? 0 : Events.front().value("us", std::int64_t{0});
  if (!Options.Json && !Events.empty())
    Out << "milliseconds after the first event\n";
  for (const nlohmann::json &Event : Events) {
    if (Options.Json)
      Out << Event.dump() << "\n";
    else
      printRow(Event, First, Out);
  }
  if (!Unreached.empty())
    throw ctl_error(ctl_exit::Unreachable, "no events from:" + Unreached);
}
