#ifndef MASTICPROXY_ROUTING_CANDIDATE_H
#define MASTICPROXY_ROUTING_CANDIDATE_H

#include "masticproxy/src/Routing/upstream_health.h"

namespace masticproxy {

struct replica;

/// \brief One local replica of a shard as a policy sees it.
struct candidate {
  const replica *Replica = nullptr;
  const upstream_health *Health = nullptr;
  /// Attempts that this VM has open at it.
  unsigned InFlight = 0;
  /// Attempts that this VM may have open at it.
  unsigned MaxInFlight = 1;
  /// Attempts that fit this VM's share of the upstream's slots.
  unsigned SlotShare = 1;
  /// Whether other VMs say that it drains.
  bool ReportedDraining = false;
  /// Whether this request has tried it.
  bool Tried = false;
  /// Whether it stands in another data centre.
  bool Remote = false;

  /// \returns whether this request may go there at all.
  bool isOpen(time_point Now) const {
    return !Tried && InFlight < MaxInFlight && !ReportedDraining &&
           !Health->isDraining(Now);
  }
};

} // namespace masticproxy

#endif
