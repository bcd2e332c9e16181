#ifndef MASTICPROXY_DAEMON_DAEMON_OPTIONS_H
#define MASTICPROXY_DAEMON_DAEMON_OPTIONS_H

#include <string>

namespace masticproxy {

/// \brief What the command line of masticproxyd asks for.
struct daemon_options {
  std::string SettingsFile;
  /// Read where there is no such file; empty if there is none either.
  std::string FallbackFile;
  bool CheckOnly = false;
  bool PrintReference = false;
  bool ShowHelp = false;
  bool ShowVersion = false;
};

/// Reads the command line. The settings may also be at \p FallbackFile, if that
/// is not empty. \throws std::invalid_argument where the command line is wrong.
daemon_options readDaemonOptions(int ArgCount, char **Args,
                                 std::string FallbackFile = {});

/// \returns the text of `masticproxyd --help`.
std::string daemonHelp();

} // namespace masticproxy

#endif
