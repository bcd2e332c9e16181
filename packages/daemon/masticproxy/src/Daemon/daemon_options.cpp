#include "masticproxy/src/Daemon/daemon_options.h"

#include <getopt.h>

#include <stdexcept>

using namespace masticproxy;

daemon_options masticproxy::readDaemonOptions(int ArgCount, char **Args,
                                              std::string FallbackFile) {
  static const option Known[] = {
      {"settings", required_argument, nullptr, 's'},
      {"check", no_argument, nullptr, 'c'},
      {"print-settings-reference", no_argument, nullptr, 'r'},
      {"help", no_argument, nullptr, 'h'},
      {"version", no_argument, nullptr, 'V'},
      {nullptr, 0, nullptr, 0}};
  daemon_options Options;
  Options.FallbackFile = std::move(FallbackFile);
  opterr = 0;
  optind = 1;
  int Found = 0;
  while ((Found = getopt_long(ArgCount, Args, "s:chV", Known, nullptr)) != -1) {
    switch (Found) {
    case 's':
      Options.SettingsFile = optarg;
      break;
    case 'c':
      Options.CheckOnly = true;
      break;
    case 'r':
      Options.PrintReference = true;
      break;
    case 'h':
      Options.ShowHelp = true;
      break;
    case 'V':
      Options.ShowVersion = true;
      break;
    default:
      throw std::invalid_argument("unknown or incomplete option: " +
                                  std::string(Args[optind - 1]));
    }
  }
  if (optind < ArgCount)
    throw std::invalid_argument("unexpected argument: " +
                                std::string(Args[optind]));
  bool NeedsFile =
      !Options.ShowHelp && !Options.ShowVersion && !Options.PrintReference;
  bool NamesFile =
      !Options.SettingsFile.empty() || !Options.FallbackFile.empty();
  if (NeedsFile && !NamesFile)
    throw std::invalid_argument("--settings FILE is required");
  return Options;
}

std::string masticproxy::daemonHelp() {
  return "Usage: masticproxyd [--settings FILE] [--check]\n"
         "\n"
         "The entry daemon of masticproxy: one on each entry VM.\n"
         "\n"
         "  -s, --settings FILE  TOML settings of this VM. Without it, or if\n"
         "                       there is no such file, the environment's\n"
         "                       MASTICPROXY_NODE_FILE names the file\n"
         "  -c, --check          check the settings and exit\n"
         "  --print-settings-reference\n"
         "                       show every key of settings and profiles\n"
         "  -h, --help           show this text\n"
         "  -V, --version        show the version\n"
         "\n"
         "SIGTERM and SIGINT leave without cutting a request; SIGHUP reads\n"
         "log.level from the settings again.\n"
         "Exit codes: 0 left in order, 1 failed to run, 2 bad command line or\n"
         "settings.\n";
}
