#ifndef MASTICPROXY_ROUTING_CANDIDATE_H
#define MASTICPROXY_ROUTING_CANDIDATE_H

#include "masticproxy/src/Routing/upstream_health.h"

namespace masticproxy {

struct replica;

/// \brief One local replica of a shard as a policy sees it.
struct candidate {
  const replica *Replica = nullptr;
  const upstream_health *Health = nullptr;
  /// Number of attempts that this VM has open at the replica.
  unsigned InFlight = 0;
  /// Number of attempts that this VM may have open at the replica.
  unsigned MaxInFlight = 1;
  /// Number of attempts that fit this VM's share of the upstream's slots.
  unsigned SlotShare = 1;
  /// Whether other VMs report that the replica is draining.
  bool ReportedDraining = false;
  /// Whether this request has tried the replica.
  bool Tried = false;
  /// Whether the replica is in another data centre.
  bool Remote = false;

  /// \returns whether this request may send an attempt to the replica.
  bool isOpen(time_point Now) const {
    return !Tried && InFlight < MaxInFlight && !ReportedDraining &&
           !Health->isDraining(Now);
  }
};

} // namespace masticproxy

#endif
