#ifndef MASTICPROXY_QUERY_UPSTREAM_TABLE_H
#define MASTICPROXY_QUERY_UPSTREAM_TABLE_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Cluster/connection_grant.h"

#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace masticproxy {

struct replica;

/// \brief What this VM has observed of each upstream, and how many attempts
/// it has open there.
class upstream_table {
public:
  /// Sets the data centre whose upstreams may be chosen.
  void setDataCentre(std::string Name) { DataCentre = std::move(Name); }

  /// Sets how many connections this VM may hold to each upstream; all that
  /// the upstream accepts before the first call.
  void setGrant(std::shared_ptr<const connection_grant> NewGrant) {
    Grant = std::move(NewGrant);
  }

  /// \returns the best replica with a free place that is not in \p Tried and
  /// not draining, or null.
  const replica *choose(std::span<const replica> Replicas,
                        std::span<const std::string> Tried,
                        time_point Now) const;

  /// \returns whether some replica of the data centre takes work by \p Latest,
  /// even if all of its places are taken now.
  bool servesBy(std::span<const replica> Replicas, time_point Latest) const;

  /// Takes a place at \p Upstream.
  void attemptStarted(std::string_view Upstream);

  /// Gives the place at \p Upstream back.
  void attemptEnded(std::string_view Upstream);

  /// Keeps new work off \p Upstream until \p Until.
  void avoid(std::string_view Upstream, time_point Until);

  /// \returns the attempts open at \p Upstream.
  unsigned inFlight(std::string_view Upstream) const;

private:
  struct upstream_state {
    unsigned InFlight = 0;
    time_point AvoidUntil{};
  };

  unsigned placesAt(const replica &Replica, time_point Now) const;

  std::string DataCentre;
  std::shared_ptr<const connection_grant> Grant;
  std::map<std::string, upstream_state, std::less<>> States;
};

} // namespace masticproxy

#endif
