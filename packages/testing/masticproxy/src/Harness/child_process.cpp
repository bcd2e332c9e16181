#include "masticproxy/src/Harness/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <limits>
#include <stdexcept>
#include <thread>

using namespace masticproxy;

namespace {

constexpr std::chrono::milliseconds ExitPoll{5};
constexpr int SignalExitBase = 128;
constexpr int ExecFailed = 127;

[[noreturn]] void becomeCommand(std::vector<char *> &Args,
                                const std::string &LogFile,
                                const process_limits &Limits) {
  // A test that is killed must leave no process behind.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  int Log = open(LogFile.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC,
                 0644); // NOLINT(cppcoreguidelines-pro-type-vararg)
  dup2(Log, STDOUT_FILENO);
  dup2(Log, STDERR_FILENO);
  // Connections of the test that the child held too would not end with it.
  close_range(STDERR_FILENO + 1, ~0U, 0);
  sigset_t None;
  sigemptyset(&None);
  sigprocmask(SIG_SETMASK, &None, nullptr);
  apply(Limits);
  execv(Args.front(), Args.data());
  _exit(ExecFailed);
}

} // namespace

child_process::child_process(const std::vector<std::string> &Command,
                             const std::string &LogFile,
                             const process_limits &Limits) {
  std::vector<char *> Args;
  Args.reserve(Command.size() + 1);
  for (const std::string &Word : Command)
    Args.push_back(const_cast<char *>(Word.c_str()));
  Args.push_back(nullptr);
  Pid = fork();
  if (Pid < 0)
    throw std::runtime_error("can't start " + Command.front());
  if (Pid == 0)
    becomeCommand(Args, LogFile, Limits);
}

child_process::~child_process() {
  if (Pid < 0 || ExitCode)
    return;
  kill(Pid, SIGKILL);
  waitpid(Pid, nullptr, 0);
}

child_process::child_process(child_process &&Other) noexcept
    : Pid(Other.Pid), ExitCode(Other.ExitCode) {
  Other.Pid = -1;
}

void child_process::signal(int Number) const {
  if (ExitCode)
    return;
  kill(Pid, Number);
  if (Number != SIGSTOP)
    return;
  // Until the last thread has stopped, the others go on for a while.
  siginfo_t Info{};
  waitid(P_PID, static_cast<id_t>(Pid), &Info, WSTOPPED | WEXITED | WNOWAIT);
}

std::uint64_t child_process::peakBytes() const {
  constexpr std::uint64_t Kibibyte = 1024;
  std::ifstream Status("/proc/" + std::to_string(Pid) + "/status");
  std::string Key;
  while (Status >> Key) {
    std::uint64_t Value = 0;
    if (Key == "VmHWM:" && Status >> Value)
      return Value * Kibibyte;
    Status.ignore(std::numeric_limits<std::streamsize>::max(), '\n');
  }
  return 0;
}

std::size_t child_process::openDescriptors() const {
  std::error_code Ended;
  std::filesystem::directory_iterator Files(
      "/proc/" + std::to_string(Pid) + "/fd", Ended);
  return static_cast<std::size_t>(std::distance(begin(Files), end(Files)));
}

std::optional<int> child_process::waitForExit(std::chrono::milliseconds Wait) {
  auto Latest = std::chrono::steady_clock::now() + Wait;
  while (!ExitCode) {
    int Status = 0;
    if (waitpid(Pid, &Status, WNOHANG) == Pid)
      ExitCode = WIFEXITED(Status) ? WEXITSTATUS(Status)
                                   : SignalExitBase + WTERMSIG(Status);
    else if (std::chrono::steady_clock::now() >= Latest)
      return std::nullopt;
    else
      std::this_thread::sleep_for(ExitPoll);
  }
  return ExitCode;
}
