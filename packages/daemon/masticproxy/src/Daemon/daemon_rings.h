#ifndef MASTICPROXY_DAEMON_DAEMON_RINGS_H
#define MASTICPROXY_DAEMON_DAEMON_RINGS_H

#include "masticproxy/src/Claims/claim_decision.h"
#include "masticproxy/src/Claims/claim_wanted.h"
#include "masticproxy/src/Cluster/connection_grant.h"
#include "masticproxy/src/Cluster/member_info.h"
#include "masticproxy/src/Cluster/peer_message.h"
#include "masticproxy/src/Discovery/discovery_event.h"
#include "masticproxy/src/Net/ring_channel.h"
#include "masticproxy/src/Query/engine_command.h"
#include "masticproxy/src/Query/engine_event.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace masticproxy {

/// \brief Tells the engine how many connections this VM may hold.
struct grant_renewed {
  std::shared_ptr<const connection_grant> Grant;
};

/// \brief What a watch of the platform gave.
struct platform_changed {
  configuration_push Changes;
  /// Whether the platform is behind what was accepted.
  bool Behind = false;
};

/// \brief Tells the engine which VMs stand in other data centres.
struct remotes_changed {
  std::vector<member_info> Remotes;
};

/// \brief The platform's list of VMs.
struct vms_listed {
  std::vector<member_info> Vms;
};

/// \brief Send a message to the peer at an address.
struct send_to_peer {
  std::string PeerAddress;
  std::shared_ptr<const peer_message> Message;
};

/// From the control duty to the engine.
using engine_update =
    std::variant<catalogue_changed, grant_renewed, remotes_changed,
                 poison_notice, suspicion_ended, drain_notice>;
/// From the engine to the control duty: what the other VMs have to hear.
using engine_notice =
    std::variant<poison_notice, suspicion_ended, drain_notice>;
/// What this VM found out about queries that crash upstreams.
using suspicion_news =
    std::variant<poison_notice, suspicion_ended, platform_restored>;
/// From the engine to the upstreams duty.
using upstream_command =
    std::variant<send_attempt, cancel_attempt, release_attempt, probe_upstream>;
/// From the upstreams duty to the engine.
using upstream_event = std::variant<attempt_answered, attempt_failed,
                                    upstream_probed, upstream_status>;
/// From the engine to the relay duty.
using relay_command = std::variant<send_relay, cancel_relay, answer_relay>;
/// From the relay duty to the engine.
using relay_event = std::variant<attempt_answered, relay_failed, relay_arrived,
                                 relay_cancelled>;
/// From the engine to the claims duty.
using claim_request = std::variant<claim_wanted, claim_unused>;
/// From the platform duty to control.
using platform_event = std::variant<platform_changed, vms_listed>;

/// From the callers' duty to the engine.
using caller_event = std::variant<query_arrived, caller_left>;

using query_ring = ring_channel<caller_event>;
using discovery_ring = ring_channel<discovery_event>;
using outcome_ring = ring_channel<deliver_outcome>;
using update_ring = ring_channel<engine_update>;
using upstream_command_ring = ring_channel<upstream_command>;
using upstream_event_ring = ring_channel<upstream_event>;
using relay_command_ring = ring_channel<relay_command>;
using relay_event_ring = ring_channel<relay_event>;
using claim_request_ring = ring_channel<claim_request>;
using claim_decision_ring = ring_channel<claim_decision>;
using platform_event_ring = ring_channel<platform_event>;
using notice_ring = ring_channel<engine_notice>;
using suspicion_ring = ring_channel<suspicion_news>;
using peer_inbox_ring = ring_channel<peer_message>;
using peer_outbox_ring = ring_channel<send_to_peer>;

/// Items in a ring that carries requests or attempts: at the target size's
/// 29,000 attempts a second, 70 ms of them. A ring's memory is all touched in
/// time, so a longer one costs each VM megabytes.
inline constexpr std::size_t RequestRingCapacity = 2048;
/// Items in a ring that carries control messages.
inline constexpr std::size_t ControlRingCapacity = 1024;

} // namespace masticproxy

#endif
