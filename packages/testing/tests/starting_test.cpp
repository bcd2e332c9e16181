/// \file
/// Daemons that meet something odd while they start.

#include "masticproxy/Harness"
#include "masticproxy/Net"

#include <criterion/criterion.h>

#include <boost/asio/io_context.hpp>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

using namespace masticproxy;

namespace {

constexpr std::chrono::seconds ExitWait{15};

constexpr unsigned FirstPort = 29600;

std::string address(unsigned Offset) {
  return testHost() + ":" + std::to_string(FirstPort + Offset);
}

std::string settings() {
  auto Address = [](unsigned Offset) {
    return "\"" + address(Offset) + "\"\n";
  };
  return "[node]\nname = \"vm\"\ndata_centre = \"dc1\"\n"
         "[platform]\naddress = " +
         Address(0) + "[listen]\ncallers = " + Address(1) +
         "peers = " + Address(2) + "[leave]\nbalancer_lag = \"100ms\"\n";
}

bool serves() {
  exchange_result Result = httpCall(address(1), {}, std::chrono::seconds(1));
  return std::holds_alternative<http_response>(Result);
}

/// A path for settings, at which there are none yet.
struct settings_path {
  settings_path()
      : Path(std::filesystem::temp_directory_path() /
             ("masticproxy-settings-" + std::to_string(getpid()))) {}
  ~settings_path() { std::filesystem::remove(Path); }

  void write(const std::string &Text) const { std::ofstream(Path) << Text; }

  std::filesystem::path Path;
};

constexpr std::chrono::milliseconds Moment{500};

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

// A process that was killed holds its address a little longer than its
// successor takes to start.
Test(starting, waits_for_an_address_that_is_in_use) {
  settings_path Settings;
  Settings.write(settings());
  for (unsigned Offset : {1, 2}) {
    boost::asio::io_context Context;
    auto Before = std::make_unique<http_server>(
        Context, address(Offset), http_server_limits{},
        [](const http_request &, const http_server::responder &) {});
    child_process Daemon(
        {programPath("masticproxyd"), "--settings", Settings.Path},
        "/dev/null");
    std::this_thread::sleep_for(Moment);
    Before.reset();
    Context.poll();
    cr_assert(waitUntil([] { return serves(); }));
    Daemon.signal(SIGTERM);
    cr_assert(Daemon.waitForExit(ExitWait) == 0);
  }
}

// The platform writes the settings while it starts the process.
Test(starting, waits_for_settings_that_can_not_be_read_yet) {
  std::string Whole = settings();
  for (const std::string &First :
       {std::string(), Whole.substr(0, Whole.size() / 2)}) {
    settings_path Settings;
    if (!First.empty())
      Settings.write(First);
    child_process Daemon(
        {programPath("masticproxyd"), "--settings", Settings.Path},
        "/dev/null");
    std::this_thread::sleep_for(Moment);
    Settings.write(Whole);
    cr_assert(waitUntil([] { return serves(); }));
    Daemon.signal(SIGTERM);
    cr_assert(Daemon.waitForExit(ExitWait) == 0);
  }
}
