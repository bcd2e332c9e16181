#ifndef MASTICPROXY_DAEMON_IDLE_CONNECTIONS_H
#define MASTICPROXY_DAEMON_IDLE_CONNECTIONS_H

#include "masticproxy/src/Base/clock.h"

#include <deque>
#include <memory>

namespace masticproxy {

class http_connection;

/// \brief The open connections to one upstream that no attempt uses.
class idle_connections {
public:
  using connection = std::shared_ptr<http_connection>;

  std::size_t size() const { return Kept.size(); }
  bool empty() const { return Kept.empty(); }

  /// Keeps \p Connection, which was used until \p Now.
  void keep(connection Connection, time_point Now);

  /// Removes and \returns the one used last. Only when not empty().
  connection take();

  /// Closes the one that was not used for longest. Only when not empty().
  void closeOldest();

  /// Closes those not used since \p Time. \returns how many.
  std::size_t closeUnusedSince(time_point Time);

private:
  struct kept_connection {
    connection Connection;
    time_point UsedAt;
  };

  /// Last used first.
  std::deque<kept_connection> Kept;
};

} // namespace masticproxy

#endif
