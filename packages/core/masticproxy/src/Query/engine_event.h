#ifndef MASTICPROXY_QUERY_ENGINE_EVENT_H
#define MASTICPROXY_QUERY_ENGINE_EVENT_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Claims/claim_decision.h"
#include "masticproxy/src/Drain/drain_notice.h"
#include "masticproxy/src/Poison/poison_notice.h"
#include "masticproxy/src/Query/partial_answer.h"
#include "masticproxy/src/Relay/relay_cancel.h"
#include "masticproxy/src/Relay/relay_end.h"
#include "masticproxy/src/Relay/relay_request.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace masticproxy {

class query_catalogue;

/// Names one request within a process.
using query_ticket = std::uint64_t;

/// Names one attempt at a shard within a process.
using attempt_id = std::uint64_t;

/// \brief A caller's request has come in.
struct query_arrived {
  query_ticket Ticket = 0;
  std::string RequestId;
  std::string Profile;
  std::string Index;
  std::string Body;
  /// The request as it came, where a route is to name profile and index.
  std::shared_ptr<const forwarded_request> Forwarded = {};
  /// How long the caller itself waits, where it says so.
  std::optional<std::chrono::milliseconds> CallerWait = {};
};

/// \brief A caller closed its connection and does not wait any more.
struct caller_left {
  query_ticket Ticket = 0;
};

/// \brief An upstream answered an attempt.
struct attempt_answered {
  attempt_id Attempt = 0;
  upstream_result Result;
};

/// \brief Why an attempt has no result.
enum class attempt_failure {
  /// No byte of the request left this process.
  NotSent,
  /// The upstream says that it refused the request before running it.
  Refused,
  /// The upstream is leaving and refused the request before running it.
  Draining,
  /// The upstream no longer holds the snapshot; it did not run the request.
  SnapshotGone,
  /// The connection died after bytes had left: it may have run.
  Unknown,
  /// The upstream ran the request and could not answer it.
  Failed,
  /// Another upstream has the address and refused the request.
  Misdirected,
};

/// \brief An attempt ended without a result.
struct attempt_failed {
  attempt_id Attempt = 0;
  attempt_failure Failure = attempt_failure::Unknown;
  /// The upstream died: it closed the connection and takes no other.
  bool UpstreamDied = false;
};

/// \brief New configuration is in force.
struct catalogue_changed {
  std::shared_ptr<const query_catalogue> Catalogue;
};

/// \brief The instant asked for by query_engine::nextWakeup() has come.
struct timer_fired {};

/// \brief The process is leaving: no new request is admitted.
struct leave_started {};

/// \brief An attempt that went to a VM of another data centre ended without a
/// result; a result comes as attempt_answered.
struct relay_failed {
  attempt_id Attempt = 0;
  relay_end End = relay_end::Unknown;
};

/// \brief A VM of another data centre asks for an attempt.
struct relay_arrived {
  /// Connection that the answer goes to.
  std::uint64_t Connection = 0;
  relay_request Request;
  time_point Deadline;
};

/// \brief A VM of another data centre does not need an attempt any more.
struct relay_cancelled {
  relay_cancel Cancel;
};

/// \brief The process is leaving: no new attempt is run for other VMs.
struct relays_closed {};

/// \brief Whether an upstream took a connection, after probe_upstream.
struct upstream_probed {
  std::string Upstream;
  bool Reached = false;
};

/// \brief All that the query engine reacts to.
using engine_event =
    std::variant<query_arrived, attempt_answered, attempt_failed,
                 catalogue_changed, timer_fired, leave_started, relay_failed,
                 relay_arrived, relay_cancelled, relays_closed, claim_decision,
                 poison_notice, drain_notice, caller_left, upstream_probed>;

} // namespace masticproxy

#endif
