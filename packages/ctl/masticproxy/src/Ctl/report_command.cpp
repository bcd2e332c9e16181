#include "masticproxy/src/Ctl/report_command.h"

#include "masticproxy/src/Ctl/ctl_error.h"
#include "masticproxy/src/Ctl/ctl_options.h"
#include "masticproxy/src/Ctl/effect_report.h"
#include "masticproxy/src/Ctl/effects_answer.h"
#include "masticproxy/src/Ctl/report_page.h"
#include "masticproxy/src/Ctl/text_file.h"
#include "masticproxy/src/Ctl/vm_reports.h"

#include <algorithm>

using namespace masticproxy;

void masticproxy::runReportCommand(const ctl_options &Options) {
  if (Options.Words.size() != 2)
    throw ctl_error(ctl_exit::Usage, "report needs one FILE");
  std::vector<effects_answer> Answers =
      readAnswers(askVms(Options, "/v1/effects"));
  std::vector<vm_effect> Vms = effectsIn(Answers, "");
  bool Any = std::any_of(Vms.begin(), Vms.end(), [](const vm_effect &Vm) {
    return Vm.Unreachable.empty();
  });
  // An earlier page is worth more than one that says nothing.
  if (!Any)
    return throwIfUnreached(Vms);
  std::string Sections;
  for (const std::string &Name : profilesIn(Answers))
    Sections += profileSection(Name, effectsIn(Answers, Name));
  writeTextFile(Options.Words[1], reportPage(Sections));
  throwIfUnreached(Vms);
}
