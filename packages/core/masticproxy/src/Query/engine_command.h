#ifndef MASTICPROXY_QUERY_ENGINE_COMMAND_H
#define MASTICPROXY_QUERY_ENGINE_COMMAND_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Claims/claim_wanted.h"
#include "masticproxy/src/Drain/drain_notice.h"
#include "masticproxy/src/Poison/poison_notice.h"
#include "masticproxy/src/Poison/suspicion_ended.h"
#include "masticproxy/src/Query/engine_event.h"
#include "masticproxy/src/Query/query_account.h"
#include "masticproxy/src/Query/query_outcome.h"
#include "masticproxy/src/Quota/quota_ask.h"
#include "masticproxy/src/Relay/relay_message.h"
#include "masticproxy/src/Routing/attempt_kind.h"

#include <memory>
#include <string>
#include <variant>

namespace masticproxy {

/// \brief Send the sub-request for one shard to an upstream.
struct send_attempt {
  attempt_id Attempt = 0;
  std::string RequestId;
  std::string Upstream;
  std::string Index;
  std::string Snapshot;
  std::string Shard;
  std::shared_ptr<const std::string> Body;
  time_point Deadline;
  attempt_kind Kind = attempt_kind::First;
  /// Connections that the upstream accepts from all VMs together.
  unsigned Connections = 1;
  /// The caller's request, if upstreams get it unmodified; else null.
  std::shared_ptr<const forwarded_request> Forwarded = {};
  /// Team of the caller; empty if keys are not used.
  std::string Team = {};
  /// Required identity of the upstream; empty: any.
  std::string Instance = {};
  /// The upstream's process, as replica::process() names it.
  std::string Process = {};
};

/// \brief Ask the upstream to stop an attempt whose result is not needed.
struct cancel_attempt {
  attempt_id Attempt = 0;
};

/// \brief Let an attempt whose result is not needed run on, to keep its
/// connection, as long as that costs little.
struct release_attempt {
  attempt_id Attempt = 0;
};

/// \brief Send the outcome of a request to its caller.
struct deliver_outcome {
  query_ticket Ticket = 0;
  std::string RequestId;
  query_outcome Outcome;
  query_account Account = {};
};

/// \brief Ask a VM of another data centre to run an attempt.
struct send_relay {
  std::string Vm;
  std::string PeerAddress;
  /// Whoever carries out the command fills in the origin and the remaining
  /// time.
  relay_request Request;
  time_point Deadline;
};

/// \brief Notify a VM of another data centre that an attempt is not needed.
struct cancel_relay {
  attempt_id Attempt = 0;
};

/// \brief Answer a VM of another data centre over the connection on which its
/// request arrived.
struct answer_relay {
  std::uint64_t Connection = 0;
  std::string RequestId;
  relay_message Message;
};

/// \brief Check whether an upstream accepts connections.
/// \sa upstream_probed
struct probe_upstream {
  std::string Upstream;
};

/// \brief Ask the granter for shares of quotas and tokens.
/// \sa quota_answered
struct ask_quota {
  quota_ask Ask;
};

/// \brief Any command that the query engine returns to be carried out.
using engine_command =
    std::variant<send_attempt, cancel_attempt, release_attempt, deliver_outcome,
                 send_relay, cancel_relay, answer_relay, claim_wanted,
                 claim_unused, poison_notice, suspicion_ended, drain_notice,
                 probe_upstream, ask_quota>;

} // namespace masticproxy

#endif
