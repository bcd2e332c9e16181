#include "masticproxy/src/Ctl/effect_command.h"

#include "masticproxy/src/Ctl/ctl_error.h"
#include "masticproxy/src/Ctl/ctl_options.h"
#include "masticproxy/src/Ctl/effect_report.h"
#include "masticproxy/src/Ctl/effect_text.h"
#include "masticproxy/src/Ctl/effects_answer.h"
#include "masticproxy/src/Ctl/object_command.h"
#include "masticproxy/src/Ctl/vm_reports.h"
#include "masticproxy/src/Net/http_message.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ostream>

using namespace masticproxy;

namespace {

constexpr std::size_t WordsWithName = 3;
constexpr std::size_t WordsWithVersions = 5;

std::vector<vm_effect> askEffects(const ctl_options &Options,
                                  const std::string &Name) {
  std::string Target = "/v1/effects?profile=" + percentEncoded(Name);
  return effectsIn(readAnswers(askVms(Options, Target)), Name);
}

/// \returns the versions remembered. \throws ctl_error where there is none.
std::vector<profile_version> neededVersions(std::span<const vm_effect> Vms,
                                            const std::string &Name) {
  std::vector<profile_version> Versions = versionsOf(Vms);
  if (!Versions.empty())
    return Versions;
  throwIfUnreached(Vms);
  throw ctl_error(ctl_exit::Refused,
                  "no VM remembers a profile called " + Name);
}

void runEffect(const ctl_options &Options, std::span<const vm_effect> Vms,
               std::ostream &Out) {
  const std::string &Name = Options.Words[2];
  std::vector<profile_version> Versions = neededVersions(Vms, Name);
  profile_effect Effect = *effectOf(Vms);
  bool Edited = Versions.size() > 1;
  const profile_version &After = Versions.back();
  const profile_version &Before =
      Edited ? *std::prev(Versions.end(), 2) : After;
  if (Options.Json) {
    nlohmann::json Root = effectJson(Effect);
    Root["name"] = Name;
    Root["differences"] = differencesJson(Before, After);
    Root["vms"] = vmsJson(Vms, After.Version);
    Out << Root.dump(2) << "\n";
    return;
  }
  Out << "profile " << Name << ", version " << After.Version;
  if (Edited) {
    Out << ", before it version " << Before.Version << "\n";
    printDifferences(Before, After, Out);
  } else {
    Out << ", no earlier one is remembered\n";
  }
  Out << "in force\n";
  printVms(Vms, After.Version, Out);
  Out << "requests of all VMs reached\n";
  printEffect(Effect, Out);
}

/// \returns the version that \p Word names. \throws ctl_error
const profile_version &versionNamed(std::span<const profile_version> Versions,
                                    const std::string &Word) {
  for (const profile_version &Version : Versions)
    if (std::to_string(Version.Version) == Word)
      return Version;
  throw ctl_error(ctl_exit::Refused, "no VM remembers version " + Word);
}

void runDiff(const ctl_options &Options, std::span<const vm_effect> Vms,
             std::ostream &Out) {
  std::vector<profile_version> Versions = neededVersions(Vms, Options.Words[2]);
  bool Named = Options.Words.size() == WordsWithVersions;
  if (!Named && Versions.size() < 2)
    throw ctl_error(ctl_exit::Refused,
                    "only version " + std::to_string(Versions.back().Version) +
                        " is remembered");
  const profile_version &Left = Named ? versionNamed(Versions, Options.Words[3])
                                      : *std::prev(Versions.end(), 2);
  const profile_version &Right =
      Named ? versionNamed(Versions, Options.Words[4]) : Versions.back();
  if (Options.Json) {
    nlohmann::json Root = {{"name", Options.Words[2]},
                           {"before", Left.Version},
                           {"after", Right.Version},
                           {"differences", differencesJson(Left, Right)}};
    Out << Root.dump(2) << "\n";
    return;
  }
  Out << "version " << Left.Version << " -> " << Right.Version << "\n";
  printDifferences(Left, Right, Out);
}

void runHistory(const ctl_options &Options, std::span<const vm_effect> Vms,
                std::ostream &Out) {
  std::vector<profile_version> Versions = neededVersions(Vms, Options.Words[2]);
  nlohmann::json Rows = nlohmann::json::array();
  const profile_version *Last = nullptr;
  for (const profile_version &Version : Versions) {
    nlohmann::json Row = {{"version", Version.Version},
                          {"text", Version.Text},
                          {"vms", vmsJson(Vms, Version.Version)}};
    Row["differences"] =
        Last ? differencesJson(*Last, Version) : nlohmann::json::array();
    Rows.push_back(std::move(Row));
    if (!Options.Json) {
      Out << "version " << Version.Version << "\n";
      if (Last)
        printDifferences(*Last, Version, Out);
      printVms(Vms, Version.Version, Out);
    }
    Last = &Version;
  }
  if (Options.Json)
    Out << Rows.dump(2) << "\n";
}

} // namespace

bool masticproxy::isProfileReport(std::string_view Verb) {
  return Verb == "effect" || Verb == "diff" || Verb == "history";
}

void masticproxy::runProfileReportCommand(const ctl_options &Options,
                                          std::ostream &Out) {
  const std::string &Verb = Options.Words[1];
  std::size_t Count = Options.Words.size();
  bool Fits =
      Count == WordsWithName || (Verb == "diff" && Count == WordsWithVersions);
  if (!Fits)
    throw ctl_error(ctl_exit::Usage, Verb + " needs one NAME");
  checkObjectName("profile", Options.Words[2]);
  std::vector<vm_effect> Vms = askEffects(Options, Options.Words[2]);
  if (Verb == "effect")
    runEffect(Options, Vms, Out);
  else if (Verb == "diff")
    runDiff(Options, Vms, Out);
  else
    runHistory(Options, Vms, Out);
  throwIfUnreached(Vms);
}
