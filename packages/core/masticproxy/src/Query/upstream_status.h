#ifndef MASTICPROXY_QUERY_UPSTREAM_STATUS_H
#define MASTICPROXY_QUERY_UPSTREAM_STATUS_H

#include <chrono>
#include <optional>
#include <string>

namespace masticproxy {

/// \brief What an upstream's response says of the upstream itself.
struct upstream_status {
  std::string Address;
  /// Its process, as replica::process() names it.
  std::string Process;
  /// Whether the process is leaving.
  bool Leaving = false;
  /// How long it wants no request from this VM, if it says so.
  std::optional<std::chrono::milliseconds> RetryAfter = {};

  /// \returns whether it says anything.
  bool any() const { return Leaving || RetryAfter; }
};

} // namespace masticproxy

#endif
