#ifndef MASTICPROXY_CLUSTER_CONNECTION_GRANT_H
#define MASTICPROXY_CLUSTER_CONNECTION_GRANT_H

#include "masticproxy/src/Base/clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace masticproxy {

/// \brief How many connections this VM may hold to each upstream, until when.
struct connection_grant {
  /// Grows with each change of what is granted.
  std::uint64_t Number = 0;
  /// This VM's name.
  std::string Self;
  /// The other VMs that may hold connections.
  std::vector<std::string> Others;
  /// False while this VM may hold none.
  bool Settled = false;
  /// From here on it grants nothing: who renews it may be paused.
  time_point ValidUntil{};

  /// \returns the connections granted to \p Upstream, which accepts \p Limit
  /// over all VMs, at \p Now.
  unsigned places(std::string_view Upstream, unsigned Limit,
                  time_point Now) const;
};

} // namespace masticproxy

#endif
