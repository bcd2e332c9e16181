#include "masticproxy/src/Ctl/status_command.h"

#include "masticproxy/src/Ctl/ctl_error.h"
#include "masticproxy/src/Ctl/ctl_options.h"
#include "masticproxy/src/Ctl/object_command.h"
#include "masticproxy/src/Ctl/vm_reports.h"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <ostream>

using namespace masticproxy;

namespace {

constexpr int VmWidth = 24;

nlohmann::json reportJson(const vm_report &Report) {
  nlohmann::json Root = nlohmann::json::parse(Report.Text, nullptr, false);
  if (!Report.Reached || !Root.is_object())
    return {{"vm", Report.Vm}, {"unreachable", Report.Text}};
  Root["vm"] = Report.Vm;
  return Root;
}

void printStatus(const nlohmann::json &Root, std::ostream &Out) {
  Out << std::left << std::setw(VmWidth) << Root["vm"].get<std::string>();
  if (Root.contains("unreachable")) {
    Out << "unreachable: " << Root["unreachable"].get<std::string>() << "\n";
    return;
  }
  const nlohmann::json &Self = Root["self"];
  Out << Self["name"].get<std::string>() << " in "
      << Self["data_centre"].get<std::string>() << ", "
      << Self["state"].get<std::string>() << ", configuration revision "
      << Root["configuration_revision"] << ", platform "
      << (Root["platform_reachable"].get<bool>() ? "reachable" : "unreachable")
      << (Root.value("platform_behind", false) ? " but behind" : "")
      << (Root.value("watching", false) ? " (watching)" : "");
  if (Root.value("shares_settled", true))
    Out << ", connections shared by " << Root.value("sharers", 1) << "\n";
  else
    Out << ", no share of connections yet\n";
  for (const nlohmann::json &Peer : Root["peers"])
    Out << std::setw(VmWidth) << ""
        << "peer " << Peer["name"].get<std::string>() << " "
        << Peer["state"].get<std::string>() << "\n";
}

/// The entry of one object in a VM's report, or null.
nlohmann::json findObject(const nlohmann::json &Root, std::string_view Kind,
                          const std::string &Name) {
  for (const nlohmann::json &Object :
       Root.value("objects", nlohmann::json::array()))
    if (Object["kind"] == Kind && Object["name"] == Name)
      return Object;
  return {};
}

void throwIfUnreached(std::size_t Unreached) {
  if (Unreached > 0)
    throw ctl_error(ctl_exit::Unreachable,
                    std::to_string(Unreached) + " VM(s) unreachable");
}

} // namespace

void masticproxy::runStatusCommand(const ctl_options &Options,
                                   std::ostream &Out) {
  nlohmann::json All = nlohmann::json::array();
  std::size_t Unreached = 0;
  for (const vm_report &Report : askVms(Options, "/v1/status")) {
    nlohmann::json Root = reportJson(Report);
    Unreached += Root.contains("unreachable") ? 1 : 0;
    if (!Options.Json)
      printStatus(Root, Out);
    All.push_back(std::move(Root));
  }
  if (Options.Json)
    Out << All.dump(2) << "\n";
  throwIfUnreached(Unreached);
}

void masticproxy::runObjectStatusCommand(std::string_view Kind,
                                         const ctl_options &Options,
                                         std::ostream &Out) {
  if (Options.Words.size() != 3)
    throw ctl_error(ctl_exit::Usage, "status needs one NAME");
  checkObjectName(Kind, Options.Words[2]);
  nlohmann::json All = nlohmann::json::array();
  std::size_t Unreached = 0;
  for (const vm_report &Report : askVms(Options, "/v1/status")) {
    nlohmann::json Root = reportJson(Report);
    nlohmann::json Object = findObject(Root, Kind, Options.Words[2]);
    bool Missing = Root.contains("unreachable");
    Unreached += Missing ? 1 : 0;
    All.push_back(
        {{"vm", Report.Vm},
         {"reached", !Missing},
         {"version", Object.is_null() ? nlohmann::json() : Object["version"]},
         {"in_force_since_us",
          Object.is_null() ? nlohmann::json() : Object["in_force_since_us"]},
         {"rejected",
          Object.is_null() ? nlohmann::json() : Object["rejected"]}});
    if (Options.Json)
      continue;
    Out << std::left << std::setw(VmWidth) << Report.Vm;
    if (Missing)
      Out << "unreachable\n";
    else if (Object.is_null())
      Out << "not in force\n";
    else
      Out << "version " << Object["version"] << " since "
          << Object["in_force_since_us"] << " us "
          << Object["rejected"].get<std::string>() << "\n";
  }
  if (Options.Json)
    Out << All.dump(2) << "\n";
  throwIfUnreached(Unreached);
}
