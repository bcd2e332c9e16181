#ifndef MASTICPROXY_HARNESS_CHILD_PROCESS_H
#define MASTICPROXY_HARNESS_CHILD_PROCESS_H

#include "masticproxy/src/Harness/process_limits.h"

#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace masticproxy {

/// \brief A process that a test starts; killed when the object goes.
class child_process {
public:
  /// Starts \p Command, a path and its arguments, within \p Limits. Both output
  /// streams go to \p LogFile. \throws std::runtime_error where it can't.
  child_process(const std::vector<std::string> &Command,
                const std::string &LogFile, const process_limits &Limits = {});
  ~child_process();
  child_process(child_process &&Other) noexcept;
  child_process &operator=(child_process &&) = delete;
  child_process(const child_process &) = delete;
  child_process &operator=(const child_process &) = delete;

  /// Sends a signal, such as SIGTERM; after SIGSTOP the whole process has
  /// stopped.
  void signal(int Number) const;

  /// \returns the most memory that the process has held, in bytes; 0 where it
  /// has ended.
  std::uint64_t peakBytes() const;

  /// \returns the descriptors that the process has open; 0 where it has ended.
  std::size_t openDescriptors() const;

  /// Waits up to \p Wait for the end. \returns the exit code, 128 + the signal
  /// that ended it, or nothing where it still runs.
  std::optional<int> waitForExit(std::chrono::milliseconds Wait);

private:
  pid_t Pid = -1;
  std::optional<int> ExitCode;
};

} // namespace masticproxy

#endif
