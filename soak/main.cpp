/// \file
/// masticproxy_soak: plays random faults against real processes on loopback,
/// and checks from the callers' and upstreams' side what the system promises.

#include "fault_plan.h"
#include "soak_run.h"

#include <getopt.h>

#include <csignal>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>

using namespace masticproxy::soak;

namespace {

constexpr const char *Usage =
    "usage: masticproxy_soak --programs DIR --settings FILE --folder DIR\n"
    "  [--seed N] [--vms N] [--seconds N] [--host IP] [--first-port N]\n"
    "Exit code 0: all promises kept; 1: one was broken; 2: it could not run.\n";

void setOption(soak_options &Options, const std::string &Name,
               const std::string &Value) {
  if (Name == "programs")
    Options.Programs = Value;
  else if (Name == "settings")
    Options.Settings = Value;
  else if (Name == "folder")
    Options.Folder = Value;
  else if (Name == "host")
    Options.Host = Value;
  else if (Name == "seed")
    Options.Seed = static_cast<unsigned>(std::stoul(Value));
  else if (Name == "vms")
    Options.Vms = static_cast<unsigned>(std::stoul(Value));
  else if (Name == "seconds")
    Options.Length = std::chrono::seconds(std::stoul(Value));
  else if (Name == "first-port")
    Options.FirstPort = static_cast<unsigned>(std::stoul(Value));
}

soak_options readOptions(int ArgCount, char **Args) {
  static const option Known[] = {{"programs", required_argument, nullptr, 0},
                                 {"settings", required_argument, nullptr, 0},
                                 {"folder", required_argument, nullptr, 0},
                                 {"host", required_argument, nullptr, 0},
                                 {"seed", required_argument, nullptr, 0},
                                 {"vms", required_argument, nullptr, 0},
                                 {"seconds", required_argument, nullptr, 0},
                                 {"first-port", required_argument, nullptr, 0},
                                 {nullptr, 0, nullptr, 0}};
  soak_options Options;
  int Index = 0;
  int Found = 0;
  while ((Found = getopt_long(ArgCount, Args, "", Known, &Index)) == 0)
    setOption(Options, Known[Index].name, optarg);
  bool Complete = Found == -1 && optind == ArgCount && Options.Vms > 0 &&
                  !Options.Programs.empty() && !Options.Settings.empty() &&
                  !Options.Folder.empty();
  if (!Complete)
    throw std::invalid_argument(Usage);
  return Options;
}

void writePlan(const soak_options &Options) {
  constexpr unsigned Upstreams =
      masticproxy::platform::small_site::UsualShards *
      masticproxy::platform::small_site::Replicas;
  std::ofstream Out(Options.Folder + "/plan.txt");
  for (const planned_fault &Fault : planFaults(Options, Upstreams))
    Out << toString(Fault) << "\n";
}

int soakOnce(const soak_options &Options) {
  std::filesystem::create_directories(Options.Folder);
  writePlan(Options);
  soak_run Run(Options);
  Run.play();
  Run.report(std::cout);
  return Run.passed() ? 0 : 1;
}

} // namespace

int main(int ArgCount, char **Args) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return soakOnce(readOptions(ArgCount, Args));
  } catch (const std::exception &Error) {
    std::cerr << "masticproxy_soak: " << Error.what() << "\n";
    return 2;
  }
}
