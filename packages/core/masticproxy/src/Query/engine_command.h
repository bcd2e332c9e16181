#ifndef MASTICPROXY_QUERY_ENGINE_COMMAND_H
#define MASTICPROXY_QUERY_ENGINE_COMMAND_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Claims/claim_wanted.h"
#include "masticproxy/src/Drain/drain_notice.h"
#include "masticproxy/src/Poison/poison_notice.h"
#include "masticproxy/src/Query/engine_event.h"
#include "masticproxy/src/Query/query_account.h"
#include "masticproxy/src/Query/query_outcome.h"
#include "masticproxy/src/Relay/relay_message.h"
#include "masticproxy/src/Routing/attempt_kind.h"

#include <memory>
#include <string>
#include <variant>

namespace masticproxy {

/// \brief Send one shard's part of a request to an upstream.
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
  /// Connections the upstream accepts, over all VMs.
  unsigned Connections = 1;
  /// The caller's request, where upstreams get it as it came.
  std::shared_ptr<const forwarded_request> Forwarded = {};
  /// Identity that the upstream has to have; empty: any.
  std::string Instance = {};
};

/// \brief Ask the upstream to stop an attempt whose result is not needed.
struct cancel_attempt {
  attempt_id Attempt = 0;
};

/// \brief Give a caller the outcome of its request.
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
  /// The surroundings fill in the origin and the time left.
  relay_request Request;
  time_point Deadline;
};

/// \brief Tell a VM of another data centre that an attempt is not needed.
struct cancel_relay {
  attempt_id Attempt = 0;
};

/// \brief Answer a VM of another data centre over the connection it asked by.
struct answer_relay {
  std::uint64_t Connection = 0;
  std::string RequestId;
  relay_message Message;
};

/// \brief Find out whether an upstream takes connections.
struct probe_upstream {
  std::string Upstream;
};

/// \brief All that the query engine asks its surroundings to do.
using engine_command =
    std::variant<send_attempt, cancel_attempt, deliver_outcome, send_relay,
                 cancel_relay, answer_relay, claim_wanted, claim_unused,
                 poison_notice, drain_notice, probe_upstream>;

} // namespace masticproxy

#endif
