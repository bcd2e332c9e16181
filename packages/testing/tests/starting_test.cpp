/// \file
/// What a daemon does that is asked to leave before it has started.

#include "masticproxy/Harness"

#include <criterion/criterion.h>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>

using namespace masticproxy;

namespace {

constexpr std::chrono::seconds ExitWait{15};

constexpr unsigned FirstPort = 29600;

std::string settings() {
  auto Address = [](unsigned Offset) {
    return "\"" + testHost() + ":" + std::to_string(FirstPort + Offset) +
           "\"\n";
  };
  return "[node]\nname = \"vm\"\ndata_centre = \"dc1\"\n"
         "[platform]\naddress = " +
         Address(0) + "[listen]\ncallers = " + Address(1) +
         "peers = " + Address(2) + "[leave]\nbalancer_lag = \"100ms\"\n";
}

/// A pipe in place of a settings file: its reader stands still until the whole
/// text was written.
struct settings_pipe {
  settings_pipe()
      : Path(std::filesystem::temp_directory_path() /
             ("masticproxy-starting-" + std::to_string(getpid()))) {
    mkfifo(Path.c_str(), S_IRUSR | S_IWUSR);
  }
  ~settings_pipe() { std::filesystem::remove(Path); }

  /// Waits until the reader has opened it.
  int open() const {
    return ::open(Path.c_str(),
                  O_WRONLY); // NOLINT(cppcoreguidelines-pro-type-vararg)
  }

  std::filesystem::path Path;
};

} // namespace

// A rolling restart meets a process that has just been started.
Test(starting, leaves_in_order_when_asked_to_while_it_reads_its_settings) {
  std::signal(SIGPIPE, SIG_IGN);
  settings_pipe Pipe;
  child_process Daemon({programPath("masticproxyd"), "--settings", Pipe.Path},
                       "/dev/null");
  int Writer = Pipe.open();
  cr_assert(Writer >= 0);
  Daemon.signal(SIGTERM);
  std::string Text = settings();
  cr_assert(write(Writer, Text.data(), Text.size()) ==
            static_cast<ssize_t>(Text.size()));
  close(Writer);
  cr_assert(Daemon.waitForExit(ExitWait) == 0);
}
