/// \file
/// masticctl: the operators' client.

#include "masticproxy/src/Ctl/check_command.h"
#include "masticproxy/src/Ctl/ctl_error.h"
#include "masticproxy/src/Ctl/ctl_help.h"
#include "masticproxy/src/Ctl/ctl_options.h"
#include "masticproxy/src/Ctl/effect_command.h"
#include "masticproxy/src/Ctl/object_command.h"
#include "masticproxy/src/Ctl/query_command.h"
#include "masticproxy/src/Ctl/report_command.h"
#include "masticproxy/src/Ctl/status_command.h"
#include "masticproxy/src/Ctl/timeline_command.h"
#include "masticproxy/src/Settings/settings_error.h"

#include <iostream>
#include <stdexcept>

using namespace masticproxy;

namespace {

void runCommand(const ctl_options &Options) {
  std::string Command = Options.Words.empty() ? "" : Options.Words.front();
  bool IsObject = Command == "profile" || Command == "index";
  std::string Verb = Options.Words.size() > 1 ? Options.Words[1] : "";
  bool WantsStatus = Verb == "status";
  if (IsObject && WantsStatus)
    return runObjectStatusCommand(Command, Options, std::cout);
  if (Command == "profile" && isProfileReport(Verb))
    return runProfileReportCommand(Options, std::cout);
  if (IsObject)
    return runObjectCommand(Command, Options, std::cout);
  if (Command == "query")
    return runQueryCommand(Options, std::cout);
  if (Command == "report")
    return runReportCommand(Options);
  if (Command == "status")
    return runStatusCommand(Options, std::cout);
  if (Command == "timeline")
    return runTimelineCommand(Options, std::cout);
  if (Command == "check")
    return runCheckCommand(Options, std::cout);
  throw ctl_error(ctl_exit::Usage, Command.empty()
                                       ? "a command is required"
                                       : "unknown command: " + Command);
}

std::string helpFor(const ctl_options &Options) {
  if (Options.Words.empty())
    return ctlHelp();
  std::string Text = ctlHelp(Options.Words.front());
  if (Text.empty())
    throw ctl_error(ctl_exit::Usage,
                    "unknown command: " + Options.Words.front());
  return Text;
}

int run(int ArgCount, char **Args) {
  ctl_options Options = readCtlOptions(ArgCount, Args);
  if (Options.ShowHelp)
    std::cout << helpFor(Options);
  else if (Options.ShowVersion)
    std::cout << "masticctl " MASTICPROXY_VERSION "\n";
  else
    runCommand(Options);
  return static_cast<int>(ctl_exit::Good);
}

} // namespace

int main(int ArgCount, char **Args) {
  try {
    return run(ArgCount, Args);
  } catch (const ctl_error &Error) {
    std::cerr << "masticctl: " << Error.what() << "\n";
    if (Error.exitCode() == ctl_exit::Usage)
      std::cerr << "Try masticctl --help\n";
    return static_cast<int>(Error.exitCode());
  } catch (const settings_error &Error) {
    std::cerr << Error.what() << "\n";
    return static_cast<int>(ctl_exit::Usage);
  } catch (const std::invalid_argument &Error) {
    std::cerr << "masticctl: " << Error.what() << "\n";
    return static_cast<int>(ctl_exit::Usage);
  } catch (const std::exception &Error) {
    // What is left comes from an answer of another shape than expected.
    std::cerr << "masticctl: " << Error.what() << "\n";
    return static_cast<int>(ctl_exit::Unreachable);
  }
}
