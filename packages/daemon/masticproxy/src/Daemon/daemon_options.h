#ifndef MASTICPROXY_DAEMON_DAEMON_OPTIONS_H
#define MASTICPROXY_DAEMON_DAEMON_OPTIONS_H

#include <string>

namespace masticproxy {

/// \brief What the command line of masticproxyd asks for.
struct daemon_options {
  std::string SettingsFile;
  bool CheckOnly = false;
  bool PrintReference = false;
  bool ShowHelp = false;
  bool ShowVersion = false;
};

/// Reads the command line. \throws std::invalid_argument where it is wrong.
daemon_options readDaemonOptions(int ArgCount, char **Args);

/// \returns the text of `masticproxyd --help`.
std::string daemonHelp();

} // namespace masticproxy

#endif
