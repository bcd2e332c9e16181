#ifndef MASTICPROXY_DAEMON_SETTINGS_SOURCE_H
#define MASTICPROXY_DAEMON_SETTINGS_SOURCE_H

#include "masticproxy/src/Settings/node_settings.h"

#include <chrono>
#include <string>

namespace masticproxy {

/// \brief Where the settings of this VM are read from.
class settings_source {
public:
  /// Reads the file \p Path, and \p Fallback where there is no such file;
  /// one of them may be empty.
  settings_source(std::string Path, std::string Fallback);

  /// \returns the file that is read now.
  const std::string &path() const;

  /// \returns the settings. \throws std::exception where they can't be read
  node_settings read() const;

  /// \returns the settings, as soon as they can be read within \p Wait. \throws
  /// std::exception where they can't
  node_settings await(std::chrono::milliseconds Wait) const;

private:
  std::string Path;
  std::string Fallback;
};

} // namespace masticproxy

#endif
