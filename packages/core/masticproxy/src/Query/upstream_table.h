#ifndef MASTICPROXY_QUERY_UPSTREAM_TABLE_H
#define MASTICPROXY_QUERY_UPSTREAM_TABLE_H

#include "masticproxy/src/Base/clock.h"

#include <map>
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

  /// Sets how many VMs of the data centre share each upstream's connections.
  void setSharers(unsigned Count) { Sharers = Count == 0 ? 1 : Count; }

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

  unsigned placesAt(const replica &Replica) const;

  std::string DataCentre;
  unsigned Sharers = 1;
  std::map<std::string, upstream_state, std::less<>> States;
};

} // namespace masticproxy

#endif
