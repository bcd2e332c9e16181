#ifndef MASTICPROXY_QUERY_QUERY_ENGINE_H
#define MASTICPROXY_QUERY_QUERY_ENGINE_H

#include "masticproxy/src/Admission/admission.h"
#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Claims/claim_timing.h"
#include "masticproxy/src/Poison/common_cause_check.h"
#include "masticproxy/src/Poison/poison_guard.h"
#include "masticproxy/src/Query/engine_command.h"
#include "masticproxy/src/Query/engine_event.h"
#include "masticproxy/src/Query/index_selector.h"
#include "masticproxy/src/Query/query_run.h"
#include "masticproxy/src/Query/quota_gate.h"
#include "masticproxy/src/Query/upstream_table.h"
#include "masticproxy/src/Relay/relay_inbox.h"
#include "masticproxy/src/Relay/relay_router.h"
#include "masticproxy/src/Routing/attempt_kind.h"
#include "masticproxy/src/Routing/hedge_schedule.h"
#include "masticproxy/src/Routing/partition_detector.h"
#include "masticproxy/src/Routing/routing_policy.h"
#include "masticproxy/src/Routing/waiting_list.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace masticproxy {

/// \brief Limits and settings of one VM's query engine.
struct engine_limits {
  /// Requests in progress at a time; further ones are refused.
  std::size_t Queries = 1024;
  /// Data centre of this VM. Upstreams of other data centres get no attempts,
  /// unless AllDataCentres is set.
  std::string DataCentre;
  /// Policy that chooses replicas and decides on hedges and retries.
  policy_name Policy = policy_name::Adaptive;
  /// Seed of the policy's random choices.
  unsigned Seed = 1;
  /// Attempts in progress at a time for VMs of other data centres.
  std::size_t Relayed = 1024;
  /// How long the ids of requests that must not run twice stay usable.
  claim_timing Claims = {};
  /// Whether a query that was not seen before runs on a single shard until
  /// that shard answers.
  bool ProbeFirst = false;
  /// Whether attempts are sent directly to upstreams of other data centres.
  bool AllDataCentres = false;
  /// Whether an upstream that is slow to answer is avoided for a while.
  bool SuspectSlow = false;
  /// Connections that this VM may hold to one upstream; 0: its share of those
  /// that the upstream accepts.
  unsigned UpstreamConnections = 0;
  /// Attempts a second at one upstream for which one of these connections is
  /// enough; 0: all of them may be used at any rate.
  double RatePerConnection = 0;
  /// Part of a profile's target latency that is reserved for sending the answer
  /// to the caller.
  std::chrono::milliseconds AnswerMargin{0};
  /// Parameters of the policy.
  policy_tuning Tuning = {};
  /// Quotas of teams; empty if they are not enforced.
  std::optional<quota_gate_settings> Quota = {};
};

/// \brief Makes all decisions about the requests of one VM.
///
/// handle() accepts an event and returns commands. The engine owns no thread,
/// does no input or output, and reads the time only from its clock.
/// \sa engine_event, engine_command
class query_engine {
public:
  query_engine(const clock &Clock, engine_limits Limits);
  ~query_engine();

  /// Processes \p Event.
  /// \returns the commands, in the order in which to carry them out.
  std::vector<engine_command> handle(engine_event Event);

  /// \returns when the next timer_fired is due, if any.
  std::optional<time_point> nextWakeup() const;

  /// \returns the number of requests in progress, relayed attempts included.
  std::size_t running() const { return Runs.size(); }

  /// \returns whether a network partition separates this VM from other data
  /// centres: nearly all of their upstreams are unresponsive.
  bool isPartitioned() const { return Reach.isPartitioned(); }

  /// \returns whether \p Notice says more than this VM knows.
  bool isNews(const poison_notice &Notice) const {
    return Poison.isNews(Notice);
  }

  /// Sets how many connections this VM may hold to each upstream.
  void setGrant(std::shared_ptr<const connection_grant> Grant) {
    Upstreams.setGrant(std::move(Grant));
  }

  /// Replaces the VMs of other data centres. They may be asked to run attempts
  /// at shards that have no usable replica in this data centre.
  void setRemotes(std::vector<member_info> Remotes) {
    Router.setRemotes(std::move(Remotes));
  }

private:
  struct attempt_record {
    query_ticket Ticket = 0;
    std::size_t Shard = 0;
    unsigned Generation = 0;
    /// Address of the upstream, or name of the VM where Relayed.
    std::string Upstream;
    bool Relayed = false;
    /// The upstream's process, as replica::process() names it.
    std::string Process;
    std::string Index;
    attempt_kind Kind = attempt_kind::First;
    time_point SentAt{};
    /// Whether the result is no longer needed.
    bool Cancelled = false;
    /// Whether a command to stop the attempt was issued.
    bool Stopped = false;
    /// Whether upstreams sign their responses to it.
    bool Signed = false;
  };
  using run_map = std::unordered_map<query_ticket, query_run>;

  void on(query_arrived Event);
  void on(attempt_answered Event);
  void on(attempt_failed Event);
  void on(catalogue_changed Event);
  void on(timer_fired Event);
  void on(const leave_planned &Event) { LeavesAt = Event.Time; }
  void on(leave_started Event);
  void on(relay_failed Event);
  void on(const relay_arrived &Event);
  void on(const relay_cancelled &Event);
  void on(relays_closed Event);
  void on(claim_decision Event);
  void on(const poison_notice &Event);
  void on(const suspicion_ended &Event) { Poison.onEnded(Event); }
  void on(const drain_notice &Event);
  void on(const caller_left &Event);
  void on(const upstream_probed &Event);
  void on(const upstream_status &Event);
  void on(const quota_answered &Event);
  void on(const granter_changed &Event);
  /// Takes a token of the team's quota. \returns whether the request may go on
  /// now; otherwise it is refused, or waits for the granter.
  bool takeQuota(query_arrived &Event, unsigned Priority);
  /// Goes on with requests that waited for a token.
  void resume(std::vector<quota_checked_query> Checked);
  /// Refuses requests that waited for too long, and asks the granter for more.
  void updateQuota();
  /// Checks whether a network partition has begun or ended, and probes
  /// upstreams.
  void updateReachability();
  /// \returns whether attempts at \p Target go directly to another data centre.
  bool isRemote(const replica &Target) const {
    return Limits.AllDataCentres && Target.DataCentre != Limits.DataCentre;
  }

  /// Sets profile and index of a forwarded request from its route, unless it
  /// has an index of the route already. \returns the route, or null if none
  /// matches or the request is not forwarded.
  std::shared_ptr<const route> resolveRoute(query_arrived &Event);
  /// Replaces the key of a forwarded request on \p Route by the team that holds
  /// it. \returns whether the request may go on: its key is in force, or it
  /// needs none.
  bool resolveTeam(const route &Route, query_arrived &Event) const;
  /// \returns the priority of the request: its team's if that has one, else its
  /// profile's.
  unsigned priorityOf(const profile &Profile, const query_arrived &Event) const;
  /// \returns the upstreams that currently serve a shard of \p Run.
  std::span<const replica> replicasOf(const query_run &Run,
                                      std::size_t Shard) const;
  /// Abandons the shards of a forwarded request that no reachable upstream
  /// serves, before the first attempt.
  void abandonUnservedShards(query_run &Run);
  /// Abandons a shard that no upstream can serve in time. \returns
  /// whether it did.
  bool abandonUnserved(query_run &Run, std::size_t Shard);
  /// Called when an attempt ended without a result.
  void onFailure(const attempt_record &Record, const attempt_failed &Event);
  /// Called at due() of a run. Finishes it if its deadline has passed or its
  /// results suffice; otherwise it continues until its deadline.
  void onDue(run_map::iterator Run);

  void startShards(query_ticket Ticket, query_run &Run);
  void startShard(query_ticket Ticket, query_run &Run, std::size_t Shard);
  /// Relays an attempt to a VM of another data centre if the local replicas
  /// accept no work soon. \returns whether it did.
  bool startRelay(query_ticket Ticket, query_run &Run, std::size_t Shard);
  /// Queues a shard until the load budget allows a retry. The shard of a
  /// forwarded request is abandoned if that is not before its deadline.
  void awaitBudget(query_ticket Ticket, query_run &Run, std::size_t Shard);
  /// Takes a retry from the shard's load budget, or credits it with a first
  /// attempt.
  void chargeLoadBudget(query_run &Run, std::size_t Shard, bool Retry);
  void send(query_ticket Ticket, query_run &Run, std::size_t Shard,
            const replica &Target, attempt_kind Kind);
  void startWaiting(std::optional<waiting_shard> Next);
  void startAllWaiting();
  void startDueHedges();
  /// Sends a hedge of an open attempt, or schedules it again if none may be
  /// sent now.
  void hedge(attempt_id Attempt, const attempt_record &Record);
  /// \returns the delay until an attempt is hedged while no latencies are
  /// known, or nothing if the request is not forwarded or has no target
  /// latency.
  std::optional<duration> firstHedgeDelay(const attempt_record &Record);
  void scheduleHedge(attempt_id Attempt, const attempt_record &Record);
  /// \returns whether \p Failure of a cancelled attempt counts as a failure of
  /// its upstream.
  static bool isUpstreamFailure(const attempt_record &Cancelled,
                                attempt_failure Failure);
  /// Reports the end of an attempt to the health records of its upstream.
  /// \p Failure is null if the attempt was answered.
  void recordAttemptEnd(const attempt_record &Record,
                        const attempt_failure *Failure);
  /// Records that the result of \p Attempt is not needed. With \p Stop, it is
  /// also cancelled at the upstream or VM that runs it.
  void cancel(attempt_id Attempt, bool Stop);
  std::optional<attempt_record> endAttempt(attempt_id Attempt);
  query_run *findRun(const attempt_record &Record);
  /// Restarts \p Run if its snapshot was retired and a newer one is in force.
  /// \returns whether its shard needs no further attempt now: the run was
  /// restarted, or it is a relayed attempt, which only its origin restarts.
  bool restartIfDue(query_ticket Ticket, query_run &Run);
  void finishIfOver(query_ticket Ticket);
  void finish(run_map::iterator Run);
  void releaseAdmissionSlot(query_ticket Ticket, const query_run &Run,
                            const query_outcome &Outcome);
  void deliver(query_ticket Ticket, std::string RequestId,
               query_outcome Outcome, query_account Account = {});
  query_account accountOf(const query_run &Run) const;
  query_outcome outcomeOf(run_map::reference Run) const;
  void cancelOpen(query_run &Run, bool Stop);
  void cancelOpen(query_run &Run, std::size_t Shard, bool Stop);
  /// Cancels the attempts that are open at a shard that has answered.
  void cancelRedundant(query_run &Run, std::size_t Shard);
  void finishWith(run_map::iterator Run, query_outcome Outcome);
  /// \returns the refusal of a request that needs a claim but has an unusable
  /// id, or nothing if the id is usable.
  std::optional<query_outcome>
  checkRequestId(const std::string &RequestId) const;
  void awaitClaim(query_ticket Ticket, query_run &Run);
  void releaseClaim(const query_run &Run, const query_outcome &Outcome);
  void sendDrainNotices();
  /// Called when an attempt ended without a result. Starts or queues a further
  /// attempt at its shard, or finishes the request.
  void continueAfterFailure(const attempt_record &Record,
                            const attempt_failed &Event);
  /// Records that an attempt ended without a result. If its upstream died,
  /// queries may become suspect or condemned, and other VMs are notified.
  void recordUpstreamDeath(const attempt_record &Record,
                           const attempt_failed &Event);
  /// Reports \p Notices, and checks whether the deaths, of which \p Record was
  /// one, have a common cause.
  void reportDeaths(const attempt_record &Record,
                    std::vector<poison_notice> Notices);
  /// Records the result of a probe for that check.
  void checkCommonCause(const upstream_probed &Event);
  /// Records that an attempt was answered with a result.
  void recordAnswer(const attempt_answered &Event,
                    const attempt_record &Record);
  /// Records which upstreams left, or started again, by the new catalogue.
  void recordRestartedUpstreams();
  void report(std::vector<poison_notice> Notices);
  /// Finishes the requests with \p Fingerprint if it must not be run.
  void finishCondemned(query_fingerprint Fingerprint);
  /// \returns the outcome of a request that must not be run.
  query_outcome poisonOutcome(query_fingerprint Fingerprint,
                              bool MayHaveRun) const;
  /// \returns the shards in the order in which a run starts them.
  std::vector<std::size_t> shardOrder(const query_run &Run) const;
  void refuse(const query_arrived &Request, query_outcome Outcome);

  const clock &Clock;
  engine_limits Limits;
  std::shared_ptr<const query_catalogue> Catalogue;
  upstream_table Upstreams;
  admission Admission;
  relay_router Router;
  relay_inbox Inbox;
  poison_guard Poison;
  common_cause_check CauseCheck;
  partition_detector Reach;
  run_map Runs;
  std::unordered_map<attempt_id, attempt_record> Attempts;
  index_selector Indexes;
  std::optional<quota_gate> Quota;
  waiting_list Waiting;
  hedge_schedule Hedges;
  std::set<std::pair<time_point, query_ticket>> Deadlines;
  std::vector<engine_command> Commands;
  attempt_id NextAttempt = 1;
  bool Configured = false;
  bool Leaving = false;
  /// When the process leaves, if that is planned.
  std::optional<time_point> LeavesAt;
};

} // namespace masticproxy

#endif
