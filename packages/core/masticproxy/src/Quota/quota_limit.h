#ifndef MASTICPROXY_QUOTA_QUOTA_LIMIT_H
#define MASTICPROXY_QUOTA_QUOTA_LIMIT_H

#include <functional>
#include <optional>
#include <string_view>

namespace masticproxy {

/// \brief The quota of a team, over all VMs.
struct quota_limit {
  /// Requests per second; 0: no limit.
  double RatePerSecond = 0;
  /// Requests that may come at once beyond that rate.
  double Burst = 0;

  bool operator==(const quota_limit &) const = default;
};

/// Looks up the quota of a team that is in force now; empty for an unknown
/// team.
using quota_limits =
    std::function<std::optional<quota_limit>(std::string_view Team)>;

} // namespace masticproxy

#endif
