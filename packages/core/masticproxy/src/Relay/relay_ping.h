#ifndef MASTICPROXY_RELAY_RELAY_PING_H
#define MASTICPROXY_RELAY_RELAY_PING_H

namespace masticproxy {

/// \brief Asks the other end of a relay connection whether it still runs.
struct relay_ping {
  /// Whether this is the reply.
  bool Reply = false;

  bool operator==(const relay_ping &) const = default;
};

} // namespace masticproxy

#endif
