#ifndef MASTICPROXY_TEAMS_TEAM_H
#define MASTICPROXY_TEAMS_TEAM_H

#include <optional>
#include <string>
#include <vector>

namespace masticproxy {

/// \brief A customer whose callers share keys and a quota.
struct team {
  std::string Name;
  /// Keys that identify its callers. They are secrets and must not be written
  /// to logs, metrics, errors or upstream requests.
  std::vector<std::string> Keys;
  /// Priority of its requests, in place of the profile's; 0 is the most urgent.
  std::optional<unsigned> Priority = {};
  /// Requests per second over all VMs; 0: no limit.
  double RatePerSecond = 0;
  /// Requests that it may send at once beyond that rate.
  double Burst = 0;
};

} // namespace masticproxy

#endif
