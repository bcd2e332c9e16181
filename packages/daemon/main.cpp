/// \file
/// masticproxyd: the entry daemon.

#include "masticproxy/src/Daemon/address_space.h"
#include "masticproxy/src/Daemon/daemon_log.h"
#include "masticproxy/src/Daemon/daemon_options.h"
#include "masticproxy/src/Daemon/entry_daemon.h"
#include "masticproxy/src/Daemon/settings_source.h"
#include "masticproxy/src/Platform/process_environment.h"
#include "masticproxy/src/Settings/settings_error.h"
#include "masticproxy/src/Settings/settings_reference.h"

#include <sys/syscall.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <stdexcept>

using namespace masticproxy;

namespace {

constexpr int ExitGood = 0;
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

/// Longest wait for settings that can be read.
constexpr std::chrono::seconds SettingsWait{2};

std::string environmentValue(const char *Name) {
  const char *Value = std::getenv(Name);
  return Value ? Value : "";
}

/// Waits for signals until one asks to leave.
void waitForLeave(const sigset_t &Signals, const settings_source &Source) {
  for (;;) {
    int Signal = 0;
    // A process that was stopped and continued may be woken without a signal.
    if (sigwait(&Signals, &Signal) != 0)
      continue;
    if (Signal != SIGHUP)
      return;
    try {
      std::string Level = Source.read().LogLevel;
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
  limitAddressSpace();
  // Before any thread inherits the mask.
  blockSignals();
  std::signal(SIGPIPE, SIG_IGN);
  daemon_options Options = readDaemonOptions(
      ArgCount, Args, environmentValue(platform::SettingsFileVariable));
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
  settings_source Source(Options.SettingsFile, Options.FallbackFile);
  if (Options.CheckOnly) {
    Source.read();
    std::cout << Source.path() << ": good\n";
    return ExitGood;
  }
  node_settings Settings = Source.await(SettingsWait);
  setUpLog(Settings.LogLevel, Settings.Name);
  entry_daemon Daemon(std::move(Settings));
  Daemon.start();
  waitForLeave(awaitedSignals(), Source);
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
