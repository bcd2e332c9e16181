/// \file
/// masticproxyd: the entry daemon.

#include "masticproxy/src/Daemon/daemon_log.h"
#include "masticproxy/src/Daemon/daemon_options.h"
#include "masticproxy/src/Daemon/entry_daemon.h"
#include "masticproxy/src/Settings/settings_error.h"
#include "masticproxy/src/Settings/settings_reference.h"

#include <sys/syscall.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <thread>

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

/// Longest wait for settings that can be read, and the pause between two tries.
/// The file may be written while this process starts.
constexpr std::chrono::seconds SettingsWait{2};
constexpr std::chrono::milliseconds SettingsPause{50};

/// \returns the settings at \p Path, as soon as they can be read. \throws
/// std::exception where they can't in time
node_settings awaitSettings(const std::string &Path) {
  auto Latest = std::chrono::steady_clock::now() + SettingsWait;
  while (std::chrono::steady_clock::now() < Latest) {
    try {
      return readSettings(Path);
    } catch (const std::exception &) {
      std::this_thread::sleep_for(SettingsPause);
    }
  }
  return readSettings(Path);
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

/// \returns the signals that waitForLeave() waits for.
sigset_t awaitedSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGHUP);
  return Signals;
}

/// Blocks the awaited signals, so that a process that is stopped or reloaded
/// while it starts does not die of them.
void blockSignals() {
  sigset_t Signals = awaitedSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
}

// A sanitizer's own start comes later, and must come before any code that it
// watches.
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
/// The same by a plain system call, as it runs before any library's own start.
void blockSignalsEarly() {
  sigset_t Signals = awaitedSignals();
  constexpr std::size_t KernelMaskBytes = 8;
  syscall(SYS_rt_sigprocmask, SIG_BLOCK, &Signals, nullptr, KernelMaskBytes);
}

// The libraries' own start takes longer than this program's.
[[gnu::section(".preinit_array"),
  gnu::used]] void (*const BlockSignalsEarly)() = blockSignalsEarly;
#endif

int run(int ArgCount, char **Args) {
  // Before any thread inherits the mask.
  blockSignals();
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
  if (Options.CheckOnly) {
    readSettings(Options.SettingsFile);
    std::cout << Options.SettingsFile << ": good\n";
    return ExitGood;
  }
  node_settings Settings = awaitSettings(Options.SettingsFile);
  setUpLog(Settings.LogLevel, Settings.Name);
  entry_daemon Daemon(std::move(Settings));
  Daemon.start();
  waitForLeave(awaitedSignals(), Options.SettingsFile);
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
