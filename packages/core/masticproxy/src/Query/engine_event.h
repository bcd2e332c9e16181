#ifndef MASTICPROXY_QUERY_ENGINE_EVENT_H
#define MASTICPROXY_QUERY_ENGINE_EVENT_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Claims/claim_decision.h"
#include "masticproxy/src/Drain/drain_notice.h"
#include "masticproxy/src/Poison/poison_notice.h"
#include "masticproxy/src/Poison/suspicion_ended.h"
#include "masticproxy/src/Query/partial_answer.h"
#include "masticproxy/src/Query/upstream_status.h"
#include "masticproxy/src/Quota/quota_answer.h"
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

/// Identifies a request within a process.
using query_ticket = std::uint64_t;

/// Identifies an attempt at a shard within a process.
using attempt_id = std::uint64_t;

/// \brief A request of a caller arrived.
struct query_arrived {
  query_ticket Ticket = 0;
  std::string RequestId;
  std::string Profile;
  std::string Index;
  std::string Body;
  /// The unmodified request, if a route determines its profile and index; else
  /// null.
  std::shared_ptr<const forwarded_request> Forwarded = {};
  /// How long the caller waits, if the request states it.
  std::optional<std::chrono::milliseconds> CallerWait = {};
  /// Key of a team, if the request has exactly one. It is dropped once the team
  /// is known.
  std::string Key = {};
  /// Name of the team that holds the key; set by the engine.
  std::string Team = {};
  /// Whether it has a token of the team's quota, or needs none; set by the
  /// engine.
  bool HasToken = false;
  /// When it arrived, if it has waited since; set by the engine.
  std::optional<time_point> ArrivedAt = {};
};

/// \brief A caller closed its connection and no longer waits.
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
  /// The upstream reported that it refused the request before running it.
  Refused,
  /// The upstream is draining and refused the request before running it.
  Draining,
  /// The upstream no longer holds the snapshot; it did not run the request.
  SnapshotGone,
  /// The connection was lost after bytes had been sent: the request may have
  /// run.
  Unknown,
  /// The upstream ran the request and failed to answer it.
  Failed,
  /// Another upstream now has the address and refused the request.
  Misdirected,
};

/// \brief An attempt ended without a result.
struct attempt_failed {
  attempt_id Attempt = 0;
  attempt_failure Failure = attempt_failure::Unknown;
  /// Whether the upstream died while it ran the attempt: it closed the
  /// connection, or did not respond in time, and nothing listens there any
  /// more.
  bool UpstreamDied = false;
  /// Whether the attempt was not sent because the upstream refused the
  /// connection.
  bool ConnectionRefused = false;
  /// Whether the upstream holds as many connections as it takes, and reset this
  /// one.
  bool AtLimit = false;
};

/// \brief A new configuration is in force.
struct catalogue_changed {
  std::shared_ptr<const query_catalogue> Catalogue;
};

/// \brief The time returned by query_engine::nextWakeup() was reached.
struct timer_fired {};

/// \brief The process will leave at \p Time: what is still running then is
/// answered as it stands, so requests that arrive from now on wait no longer.
struct leave_planned {
  time_point Time;
};

/// \brief The process is leaving: no new request is admitted, and those in
/// progress are answered as they stand.
struct leave_started {};

/// \brief An attempt that was sent to a VM of another data centre ended without
/// a result. Results of such attempts arrive as attempt_answered.
struct relay_failed {
  attempt_id Attempt = 0;
  relay_end End = relay_end::Unknown;
};

/// \brief A VM of another data centre requested an attempt.
struct relay_arrived {
  /// Connection over which to answer.
  std::uint64_t Connection = 0;
  relay_request Request;
  time_point Deadline;
};

/// \brief A VM of another data centre no longer needs an attempt.
struct relay_cancelled {
  relay_cancel Cancel;
};

/// \brief The process is leaving: no new attempt is accepted from other VMs.
struct relays_closed {};

/// \brief Reports whether an upstream accepted a connection, as the response to
/// probe_upstream.
struct upstream_probed {
  std::string Upstream;
  bool Reached = false;
};

/// \brief The granter's answer to the last ask_quota.
struct quota_answered {
  /// Empty if none came in time.
  std::optional<quota_answer> Answer;
};

/// \brief Another VM divides the quotas from now on, or none that is known.
struct granter_changed {
  std::optional<std::uint64_t> Term;
};

/// \brief Any event that the query engine processes.
using engine_event =
    std::variant<query_arrived, attempt_answered, attempt_failed,
                 catalogue_changed, timer_fired, leave_planned, leave_started,
                 relay_failed, relay_arrived, relay_cancelled, relays_closed,
                 claim_decision, poison_notice, suspicion_ended, drain_notice,
                 caller_left, upstream_probed, upstream_status, quota_answered,
                 granter_changed>;

} // namespace masticproxy

#endif
