#ifndef MASTICPROXY_DAEMON_CONTROL_LINKS_H
#define MASTICPROXY_DAEMON_CONTROL_LINKS_H

#include "masticproxy/src/Base/published.h"
#include "masticproxy/src/Daemon/daemon_rings.h"
#include "masticproxy/src/Daemon/node_status.h"

#include <functional>

namespace masticproxy {

class clock;
class counter_registry;
class effect_log;
class event_log;
struct node_settings;

/// \brief What the control duty is joined to.
struct control_links {
  const node_settings &Settings;
  const clock &Clock;
  counter_registry &Counters;
  event_log &Events;
  effect_log &Effects;
  /// Grows with each start of the process.
  std::uint64_t Incarnation;
  platform_event_ring &FromPlatform;
  peer_inbox_ring &FromPeers;
  notice_ring &FromEngine;
  /// What the platform's store says, one ring for each kind of object.
  discovery_ring &Configurations;
  discovery_ring &Registrations;
  discovery_ring &Suspicions;
  discovery_ring &Evacuations;
  /// What this VM finds out, for the platform's store.
  suspicion_ring &OwnSuspicions;
  update_ring &ToEngine;
  peer_outbox_ring &ToPeers;
  published<node_status> &Status;
  published<connection_grant> &Grant;
  std::function<bool()> PlatformReachable;
  /// Number of the newest grant that no open connection exceeds.
  std::function<std::uint64_t()> AppliedGrant;
  /// Starts or ends to watch the platform after a revision.
  std::function<void(bool, std::uint64_t)> Follow;
};

} // namespace masticproxy

#endif
