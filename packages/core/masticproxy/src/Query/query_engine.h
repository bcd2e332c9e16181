#ifndef MASTICPROXY_QUERY_QUERY_ENGINE_H
#define MASTICPROXY_QUERY_QUERY_ENGINE_H

#include "masticproxy/src/Admission/admission.h"
#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Claims/claim_timing.h"
#include "masticproxy/src/Poison/poison_guard.h"
#include "masticproxy/src/Query/engine_command.h"
#include "masticproxy/src/Query/engine_event.h"
#include "masticproxy/src/Query/index_choice.h"
#include "masticproxy/src/Query/query_run.h"
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

/// \brief Bounds of one VM's query engine.
struct engine_limits {
  /// Requests under way at a time; one more is refused.
  std::size_t Queries = 1024;
  /// Data centre of this VM; upstreams of others are not spoken to.
  std::string DataCentre;
  /// How attempts are placed, hedged and retried.
  policy_name Policy = policy_name::Adaptive;
  /// Fixes the policy's draws.
  unsigned Seed = 1;
  /// Attempts run for VMs of other data centres at a time.
  std::size_t Relayed = 1024;
  /// How long request ids that may not run twice can be used.
  claim_timing Claims = {};
  /// Whether a query not seen before runs on one shard alone at first.
  bool ProbeFirst = false;
  /// Whether upstreams of other data centres are spoken to directly.
  bool AllDataCentres = false;
  /// Whether an upstream that keeps attempts waiting is avoided for a while.
  bool SuspectSlow = false;
  /// Connections that this VM holds to one upstream; 0: its share of them.
  unsigned UpstreamConnections = 0;
  /// Time kept back from a profile's target latency for the answer's way to
  /// the caller.
  std::chrono::milliseconds AnswerMargin{0};
  /// What the policy is tuned by.
  policy_tuning Tuning = {};
};

/// \brief Decides all that happens to the requests of one VM.
///
/// Events go in through handle(), commands come out. It owns no thread, does
/// no input or output, and knows no time but the clock's.
/// \sa engine_event, engine_command
class query_engine {
public:
  query_engine(const clock &Clock, engine_limits Limits);
  ~query_engine();

  /// Reacts to \p Event. \returns the commands in the order to be carried out.
  std::vector<engine_command> handle(engine_event Event);

  /// \returns when a timer_fired is due, if at all.
  std::optional<time_point> nextWakeup() const;

  /// \returns the requests under way.
  std::size_t running() const { return Runs.size(); }

  /// \returns whether nearly all upstreams of other data centres are silent.
  bool isPartitioned() const { return Reach.isPartitioned(); }

  /// Sets how many connections this VM may hold to each upstream.
  void setGrant(std::shared_ptr<const connection_grant> Grant) {
    Upstreams.setGrant(std::move(Grant));
  }

  /// Replaces the VMs of other data centres, which may be asked for shards
  /// that have no usable replica here.
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
    /// Identity that the upstream was expected to have; empty: any.
    std::string Instance;
    std::string Index;
    attempt_kind Kind = attempt_kind::First;
    time_point SentAt{};
    /// The result is no longer needed.
    bool Cancelled = false;
    /// The upstream was told to stop.
    bool Stopped = false;
  };
  using run_map = std::unordered_map<query_ticket, query_run>;

  void on(query_arrived Event);
  void on(attempt_answered Event);
  void on(attempt_failed Event);
  void on(catalogue_changed Event);
  void on(timer_fired Event);
  void on(leave_started Event);
  void on(relay_failed Event);
  void on(const relay_arrived &Event);
  void on(const relay_cancelled &Event);
  void on(relays_closed Event);
  void on(claim_decision Event);
  void on(const poison_notice &Event);
  void on(const drain_notice &Event);
  void on(const caller_left &Event);
  void on(const upstream_probed &Event);
  /// Looks for a cut, or for its end.
  void watchReach();
  /// \returns whether \p Target is spoken to across data centres.
  bool isRemote(const replica &Target) const {
    return Limits.AllDataCentres && Target.DataCentre != Limits.DataCentre;
  }

  /// Lets a route name profile and index of a forwarded request. \returns the
  /// route, or null where none takes it.
  std::shared_ptr<const route> followRoute(query_arrived &Event);
  /// \returns the upstreams that serve a shard of \p Run now.
  std::span<const replica> replicasOf(const query_run &Run,
                                      std::size_t Shard) const;
  /// Gives up the shards that no upstream within reach serves, before any is
  /// asked.
  void giveUpUnserved(query_run &Run);
  /// Reacts to an attempt that ended without a result.
  void onFailure(const attempt_record &Record, const attempt_failed &Event);
  /// Answers a run whose time for waiting is over, or lets it wait on.
  void onDue(run_map::iterator Run);

  void startShards(query_ticket Ticket, query_run &Run);
  void startShard(query_ticket Ticket, query_run &Run, std::size_t Shard);
  bool startRelay(query_ticket Ticket, query_run &Run, std::size_t Shard);
  /// Lets a shard wait for the budget for extra load, or gives it up where that
  /// allows nothing before the deadline.
  void awaitBudget(query_ticket Ticket, query_run &Run, std::size_t Shard);
  /// Takes a retry from the budget for extra load, or pays a first attempt in.
  void payFor(query_run &Run, std::size_t Shard, bool Retry);
  void send(query_ticket Ticket, query_run &Run, std::size_t Shard,
            const replica &Target, attempt_kind Kind);
  void startWaiting(std::optional<waiting_shard> Next);
  void startAllWaiting();
  void hedgeDue();
  void hedge(attempt_id Attempt, const attempt_record &Record);
  /// \returns when an attempt is hedged while no latencies are known.
  std::optional<duration> firstHedgeDelay(const attempt_record &Record);
  void scheduleHedge(attempt_id Attempt, const attempt_record &Record);
  /// \returns whether \p Failure of an attempt that was cancelled says
  /// something of its upstream.
  static bool tellsOfUpstream(const attempt_record &Cancelled,
                              attempt_failure Failure);
  void noteEnd(const attempt_record &Record, const attempt_failure *Failure);
  /// Notes that the result of \p Attempt is not needed; with \p Stop the
  /// upstream is told.
  void cancel(attempt_id Attempt, bool Stop);
  std::optional<attempt_record> endAttempt(attempt_id Attempt);
  query_run *findRun(const attempt_record &Record);
  /// Starts \p Run over where its snapshot went away and a newer one is in
  /// force. \returns whether it did.
  bool restartIfDue(query_ticket Ticket, query_run &Run);
  void finishIfOver(query_ticket Ticket);
  void finish(run_map::iterator Run);
  void releasePlace(query_ticket Ticket, const query_run &Run,
                    const query_outcome &Outcome);
  void deliver(query_ticket Ticket, std::string RequestId,
               query_outcome Outcome, query_account Account = {});
  query_account accountOf(const query_run &Run) const;
  static query_outcome outcomeOf(run_map::reference Run);
  void cancelOpen(query_run &Run, bool Stop);
  void cancelOpen(query_run &Run, std::size_t Shard, bool Stop);
  void finishWith(run_map::iterator Run, query_outcome Outcome);
  std::optional<query_outcome> refusalOfId(const std::string &RequestId) const;
  void awaitClaim(query_ticket Ticket, query_run &Run);
  void releaseClaim(const query_run &Run, const query_outcome &Outcome);
  void tellDrains();
  /// Lets the shard of an attempt that ended without a result try again, or
  /// its query end.
  void goOnAfter(const attempt_record &Record, const attempt_failed &Event);
  void noteDeath(const attempt_failed &Event);
  void endCondemned(query_fingerprint Fingerprint);
  /// \returns the shards in the order in which a run asks them.
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
  partition_detector Reach;
  run_map Runs;
  std::unordered_map<attempt_id, attempt_record> Attempts;
  index_choice Indexes;
  waiting_list Waiting;
  hedge_schedule Hedges;
  std::set<std::pair<time_point, query_ticket>> Deadlines;
  std::vector<engine_command> Commands;
  attempt_id NextAttempt = 1;
  bool Configured = false;
  bool Leaving = false;
};

} // namespace masticproxy

#endif
