#ifndef MASTICPROXY_SOAK_SOAK_VM_H
#define MASTICPROXY_SOAK_SOAK_VM_H

#include "masticproxy/Harness"
#include "masticproxy/src/Base/clock.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace masticproxy::soak {

class promise_book;

/// \brief The process of one entry VM, started again whenever it has ended.
class soak_vm {
public:
  /// \p Command starts it; its output goes to \p LogFile.
  soak_vm(const clock &Clock, promise_book &Book, unsigned Number,
          std::vector<std::string> Command, std::string LogFile);

  void start();

  /// Ends the process by SIGKILL.
  void kill();

  /// Asks the process to end, by SIGTERM; it is killed where it does not in
  /// time.
  void terminate();

  /// Lets the process stand still until resume() was called as often.
  void pause();
  void resume();

  /// Looks whether the process has ended, and starts it anew a moment later.
  void look();

  /// \returns how often it was started.
  unsigned starts() const { return Starts; }

private:
  void onEnd(int ExitCode);
  void killIfOverdue();
  void checkMemory();

  const clock &Clock;
  promise_book &Book;
  unsigned Number;
  std::vector<std::string> Command;
  std::string LogFile;
  std::unique_ptr<child_process> Process;
  unsigned Starts = 0;
  unsigned Pauses = 0;
  time_point StartedAt{};
  bool Killed = false;
  bool OverMemory = false;
  time_point MemoryCheckAt{};
  std::optional<time_point> TerminatedAt;
  std::optional<time_point> EndedAt;
};

} // namespace masticproxy::soak

#endif
