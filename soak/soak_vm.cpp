#include "soak_vm.h"

#include "promise_book.h"
#include "soak_timing.h"

#include <csignal>
#include <utility>

using namespace masticproxy;
using namespace masticproxy::soak;

namespace {

/// Time from the end of a process to its next start.
constexpr std::chrono::milliseconds RestartDelay{300};

/// How often the peak of a process's memory is read.
constexpr std::chrono::milliseconds MemoryCheckInterval{500};

/// Exit code that the harness gives a process which SIGKILL ended.
constexpr int KilledExit = 128 + SIGKILL;

/// The same where SIGTERM did.
constexpr int TerminatedExit = 128 + SIGTERM;

} // namespace

soak_vm::soak_vm(const clock &Clock, promise_book &Book, unsigned Number,
                 std::vector<std::string> Command, std::string LogFile)
    : Clock(Clock), Book(Book), Number(Number), Command(std::move(Command)),
      LogFile(std::move(LogFile)) {}

void soak_vm::start() {
  ++Starts;
  StartedAt = Clock.now();
  Killed = false;
  OverMemory = false;
  TerminatedAt.reset();
  EndedAt.reset();
  Process =
      std::make_unique<child_process>(Command, LogFile, smallestVmLimits());
  Book.vm(Number).struck(Clock.now());
}

void soak_vm::kill() {
  if (EndedAt)
    return;
  Book.vm(Number).struck(Clock.now());
  Killed = true;
  Process->signal(SIGKILL);
}

void soak_vm::terminate() {
  if (EndedAt || TerminatedAt)
    return;
  TerminatedAt = Clock.now();
  Book.terminated(Number, Starts);
  Process->signal(SIGTERM);
}

void soak_vm::pause() {
  if (EndedAt)
    return;
  Book.vm(Number).disturbed();
  if (Pauses++ == 0)
    Process->signal(SIGSTOP);
}

void soak_vm::resume() {
  if (Pauses == 0)
    return;
  Book.vm(Number).calmed(Clock.now());
  if (--Pauses == 0)
    Process->signal(SIGCONT);
}

void soak_vm::look() {
  if (EndedAt) {
    if (Clock.now() >= *EndedAt + RestartDelay)
      start();
    return;
  }
  if (std::optional<int> Exit =
          Process->waitForExit(std::chrono::milliseconds{0}))
    return onEnd(*Exit);
  killIfOverdue();
  checkMemory();
}

void soak_vm::checkMemory() {
  // A sanitizer keeps what was freed.
  bool Counts = smallestVmLimits().AddressSpaceBytes.has_value();
  if (!Counts || Clock.now() < MemoryCheckAt)
    return;
  MemoryCheckAt = Clock.now() + MemoryCheckInterval;
  std::uint64_t Peak = Process->peakBytes();
  if (Peak > MostPeakBytes && !std::exchange(OverMemory, true))
    Book.vmMemory(Number, Peak);
}

void soak_vm::onEnd(int ExitCode) {
  EndedAt = Clock.now();
  while (Pauses > 0)
    resume();
  bool Loading = ExitCode == TerminatedExit && TerminatedAt &&
                 *TerminatedAt < StartedAt + LoadTime;
  if (!Killed && !Loading)
    Book.vmEnded(Number, TerminatedAt.has_value(), ExitCode);
}

void soak_vm::killIfOverdue() {
  bool Overdue = TerminatedAt && Pauses == 0 && !Killed &&
                 Book.vm(Number).calmFor(Grace, Clock.now());
  if (!Overdue || Clock.now() < *TerminatedAt + Grace)
    return;
  Book.vmEnded(Number, /*Asked=*/true, KilledExit);
  kill();
}
