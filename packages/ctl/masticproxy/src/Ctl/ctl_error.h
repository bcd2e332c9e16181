#ifndef MASTICPROXY_CTL_CTL_ERROR_H
#define MASTICPROXY_CTL_CTL_ERROR_H

#include <stdexcept>
#include <string>

namespace masticproxy {

/// Exit codes of masticctl, for scripts.
enum class ctl_exit {
  Good = 0,
  /// A VM or the platform could not be reached, or gave no usable answer.
  Unreachable = 1,
  /// The command line, or a file named on it, is wrong.
  Usage = 2,
  /// The object was changed by somebody else; nothing was written.
  Conflict = 3,
  /// The request was refused or not answered in full.
  Refused = 4,
  /// The write may have taken effect.
  Unknown = 5,
};

/// \brief Ends a command with an exit code and a message.
class ctl_error : public std::runtime_error {
public:
  ctl_error(ctl_exit Exit, const std::string &Message)
      : std::runtime_error(Message), Exit(Exit) {}

  /// \returns the exit code of the process.
  ctl_exit exitCode() const { return Exit; }

private:
  ctl_exit Exit;
};

} // namespace masticproxy

#endif
