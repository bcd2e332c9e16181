/// \file
/// masticproxyd: the entry daemon.

#include "masticproxy/src/Daemon/daemon_log.h"
#include "masticproxy/src/Daemon/daemon_options.h"
#include "masticproxy/src/Daemon/entry_daemon.h"
#include "masticproxy/src/Settings/settings_error.h"
#include "masticproxy/src/Settings/settings_reference.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>

using namespace masticproxy;

namespace {

constexpr int ExitGood = 0;
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    throw std::invalid_argument("can't read " + Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

node_settings readSettings(const std::string &Path) {
  return readNodeSettings(readFile(Path), Path);
}

/// Waits for signals until one asks to leave.
void waitForLeave(const sigset_t &Signals, const std::string &SettingsFile) {
  for (;;) {
    int Signal = 0;
    sigwait(&Signals, &Signal);
    if (Signal != SIGHUP)
      return;
    try {
      std::string Level = readSettings(SettingsFile).LogLevel;
      setLogLevel(Level);
      logInfo("event=log_level_changed level=" + Level);
    } catch (const std::exception &Error) {
      logError(std::string("event=settings_rejected reason=\"") + Error.what() +
               "\"");
    }
  }
}

/// Blocks the signals that waitForLeave() waits for. \returns them.
sigset_t blockSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  return Signals;
}

int run(int ArgCount, char **Args) {
  // At once, so that a process that is stopped or reloaded while it starts
  // does not die of the signal; and before any thread inherits the mask.
  sigset_t Signals = blockSignals();
  std::signal(SIGPIPE, SIG_IGN);
  daemon_options Options = readDaemonOptions(ArgCount, Args);
  if (Options.ShowHelp) {
    std::cout << daemonHelp();
    return ExitGood;
  }
  if (Options.ShowVersion) {
    std::cout << "masticproxyd " MASTICPROXY_VERSION "\n";
    return ExitGood;
  }
  if (Options.PrintReference) {
    std::cout << settingsReference();
    return ExitGood;
  }
  node_settings Settings = readSettings(Options.SettingsFile);
  if (Options.CheckOnly) {
    std::cout << Options.SettingsFile << ": good\n";
    return ExitGood;
  }
  setUpLog(Settings.LogLevel, Settings.Name);
  entry_daemon Daemon(std::move(Settings));
  Daemon.start();
  waitForLeave(Signals, Options.SettingsFile);
  Daemon.leave();
  return ExitGood;
}

} // namespace

int main(int ArgCount, char **Args) {
  try {
    return run(ArgCount, Args);
  } catch (const settings_error &Error) {
    std::cerr << Error.what() << "\n";
    return ExitUsage;
  } catch (const std::invalid_argument &Error) {
    std::cerr << "masticproxyd: " << Error.what()
              << "\nTry masticproxyd --help\n";
    return ExitUsage;
  } catch (const std::exception &Error) {
    std::cerr << "masticproxyd: " << Error.what() << "\n";
    return ExitFailed;
  }
}
