#include "masticproxy/src/Ctl/report_command.h"

#include "masticproxy/src/Ctl/ctl_error.h"
#include "masticproxy/src/Ctl/ctl_options.h"
#include "masticproxy/src/Ctl/effect_report.h"
#include "masticproxy/src/Ctl/report_page.h"
#include "masticproxy/src/Ctl/vm_reports.h"

#include <algorithm>
#include <fstream>

using namespace masticproxy;

namespace {

std::vector<vm_effect> effectsOf(std::span<const vm_report> Reports,
                                 const std::string &Name) {
  std::vector<vm_effect> Vms;
  for (const vm_report &Report : Reports)
    Vms.push_back(readEffect(Report, Name));
  return Vms;
}

void writeTextFile(const std::string &Path, const std::string &Text) {
  std::ofstream File(Path);
  File << Text;
  File.close();
  if (!File)
    throw ctl_error(ctl_exit::Usage, "can't write " + Path);
}

} // namespace

void masticproxy::runReportCommand(const ctl_options &Options) {
  if (Options.Words.size() != 2)
    throw ctl_error(ctl_exit::Usage, "report needs one FILE");
  std::vector<vm_report> Reports = askVms(Options, "/v1/effects");
  std::vector<vm_effect> Answers = effectsOf(Reports, "");
  bool Any =
      std::any_of(Answers.begin(), Answers.end(),
                  [](const vm_effect &Vm) { return Vm.Unreachable.empty(); });
  // An earlier page is worth more than one that says nothing.
  if (!Any)
    return throwIfUnreached(Answers);
  std::string Sections;
  for (const std::string &Name : profilesIn(Reports))
    Sections += profileSection(Name, effectsOf(Reports, Name));
  writeTextFile(Options.Words[1], reportPage(Sections));
  throwIfUnreached(Answers);
}
