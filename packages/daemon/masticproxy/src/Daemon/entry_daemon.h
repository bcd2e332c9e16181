#ifndef MASTICPROXY_DAEMON_ENTRY_DAEMON_H
#define MASTICPROXY_DAEMON_ENTRY_DAEMON_H

#include "masticproxy/src/Settings/node_settings.h"

#include <memory>

namespace masticproxy {

/// \brief One entry VM's process: all duties, their threads and rings.
class entry_daemon {
public:
  explicit entry_daemon(node_settings Settings);
  ~entry_daemon();

  /// Starts all duties. \throws std::runtime_error where one can't start.
  void start();

  /// Leaves: fails the ready check, goes on serving until the balancer knows,
  /// lets running requests finish, then stops.
  void leave();

private:
  struct parts;
  std::unique_ptr<parts> Parts;
};

} // namespace masticproxy

#endif
