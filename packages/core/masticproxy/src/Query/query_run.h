#ifndef MASTICPROXY_QUERY_QUERY_RUN_H
#define MASTICPROXY_QUERY_QUERY_RUN_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Poison/query_fingerprint.h"
#include "masticproxy/src/Query/engine_event.h"
#include "masticproxy/src/Query/index_map.h"
#include "masticproxy/src/Query/partial_answer.h"
#include "masticproxy/src/Query/profile.h"
#include "masticproxy/src/Query/query_outcome.h"
#include "masticproxy/src/Query/route.h"
#include "masticproxy/src/Query/run_claim.h"
#include "masticproxy/src/Query/shard_gap.h"
#include "masticproxy/src/Routing/waiting_list.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace masticproxy {

/// \brief The state of one admitted request: its pinned snapshot, the attempts
/// and results of each shard, and its deadline.
class query_run {
public:
  /// Starts the run of \p Request under \p Profile. It is pinned to
  /// \p Snapshot and ends at \p Deadline at the latest.
  query_run(query_arrived Request, profile Profile,
            std::shared_ptr<const index_snapshot> Snapshot,
            time_point Deadline);

  /// \returns the pinned snapshot.
  const index_snapshot &snapshot() const { return *Snapshot; }

  /// Makes this the run of a forwarded request. \p NewRoute determines the load
  /// budgets of its attempts and the form of its answer.
  void follow(std::shared_ptr<const route> NewRoute) {
    Route = std::move(NewRoute);
  }

  /// \returns the route of a forwarded request, or null.
  const route *forwardRoute() const { return Route.get(); }

  /// \returns the caller's request if upstreams get it unchanged, or null.
  const std::shared_ptr<const forwarded_request> &forwarded() const {
    return Request.Forwarded;
  }

  const std::string &requestId() const { return Request.RequestId; }
  /// \returns the team of the caller; empty if keys are not used.
  const std::string &team() const { return Request.Team; }
  const std::string &indexName() const { return Request.Index; }
  const std::shared_ptr<const std::string> &body() const { return Body; }
  query_fingerprint fingerprint() const { return Fingerprint; }
  const profile &pinnedProfile() const { return Profile; }
  /// \returns the class under which its shards wait for an upstream.
  waiting_class waitingClass() const {
    return {Profile.Name, Profile.Priority, Request.Team};
  }
  time_point deadline() const { return Deadline; }

  /// \returns the name of the class of queries with similar latencies: the
  /// profile for a forwarded request, otherwise the index.
  const std::string &latencyClass() const {
    return Route ? Profile.Name : Request.Index;
  }

  /// \returns the name of the load budget that is charged for attempts at a
  /// shard. Forwarded requests use one budget for each shard; all others share
  /// one.
  std::string_view loadBudget(std::size_t Shard) const {
    return Route ? std::string_view(Snapshot->Shards[Shard].Id)
                 : std::string_view();
  }

  /// \returns whether attempts that are no longer needed are cancelled at the
  /// upstreams. Those of a forwarded request run to completion: this keeps
  /// their connections usable, and a new connection would cost the upstream
  /// more.
  bool cancelsRedundantAttempts() const { return !Route; }

  /// Sets the time, at most the deadline, at which the request is answered
  /// without waiting for more if its results suffice for the profile's
  /// coverage.
  void setAnswerBy(time_point Time) { AnswerBy = std::min(Time, Deadline); }

  /// \returns when the run is next checked for its time: first at the time set
  /// by setAnswerBy(), then at its deadline.
  time_point due() const { return PastTarget ? Deadline : AnswerBy; }

  /// Records that the results did not suffice at the time set by
  /// setAnswerBy().
  void setPastTarget() { PastTarget = true; }

  /// \returns whether the request is answered as soon as the results suffice
  /// for the profile's coverage.
  bool isPastTarget() const { return PastTarget; }

  /// \returns whether the results suffice for the profile's coverage.
  bool hasEnoughCoverage() const;

  /// \returns the claim that the run needs before it may start.
  run_claim &claim() { return Claim; }
  const run_claim &claim() const { return Claim; }

  /// \returns whether the shard needs an attempt now: it has neither a result
  /// nor an open attempt, and a further attempt is allowed.
  bool needsAttempt(std::size_t Shard) const;

  /// \returns whether the shard has been attempted on the pinned snapshot.
  bool wasAttempted(std::size_t Shard) const { return Shards[Shard].Attempted; }

  /// Records the first attempt at the shard. \returns whether this is the first
  /// call for the shard: a first attempt earns credit for further ones only
  /// once.
  bool recordFirstAttempt(std::size_t Shard) {
    return !std::exchange(Shards[Shard].FirstAttemptRecorded, true);
  }

  /// Records that the shard gets no further attempt, because of \p Cause.
  void abandonShard(std::size_t Shard, gap_cause Cause) {
    Shards[Shard].Abandoned = Cause;
  }

  /// Sets when an upstream of an abandoned shard takes requests again.
  void setRetryAfter(std::chrono::milliseconds Span) {
    RetryAfter = std::max(RetryAfter.value_or(Span), Span);
  }

  /// \returns whether none of the shard's \p Replicas upstreams can be reached:
  /// consecutive attempts, enough to try each of them repeatedly, were not
  /// sent.
  bool isUnreachable(std::size_t Shard, std::size_t Replicas) const;

  /// \returns whether the shard may get a hedge: exactly one attempt is open,
  /// there is no result, and the profile allows a second attempt.
  bool mayHedge(std::size_t Shard) const;

  /// \returns whether at least half of the shards have a result, so that a
  /// shard without one is slower than the others. Always true for a request of
  /// one shard, and for one that is not forwarded: only forwarded requests have
  /// a load budget for each shard.
  bool mostOthersAnswered() const;

  /// \returns the upstreams already tried for a shard.
  std::span<const std::string> tried(std::size_t Shard) const {
    return Shards[Shard].Tried;
  }

  /// \returns whether any shard was tried at \p Upstream.
  bool wasTriedAt(std::string_view Upstream) const;

  /// \returns the attempts that are open at a shard.
  std::span<const attempt_id> openAttempts(std::size_t Shard) const {
    return Shards[Shard].Open;
  }

  /// Records that \p Attempt was sent to \p Upstream for \p Shard.
  void attemptStarted(std::size_t Shard, attempt_id Attempt,
                      std::string Upstream);

  /// Records a result. \returns whether it was added to the answer.
  bool attemptAnswered(std::size_t Shard, attempt_id Attempt,
                       upstream_result Result);

  /// \returns whether the status of \p Result makes it a failure of the
  /// attempt. For a route that forwards the only response unchanged, a client
  /// error status is a result: it answers the caller's request. Always false
  /// for a request that is not forwarded.
  bool isFailure(const upstream_result &Result) const;

  /// Keeps a failure response, which the caller gets if no attempt succeeds.
  /// Has no effect unless the route forwards the only response unchanged.
  void keepFailure(upstream_result Result);

  /// Records that an attempt ended without a result.
  void attemptFailed(std::size_t Shard, attempt_id Attempt,
                     attempt_failure Failure);

  /// Clears the replicas tried for a shard, so that they may be tried again.
  void forgetTried(std::size_t Shard) { Shards[Shard].Tried.clear(); }

  /// \returns whether it is certain that no upstream ran any part of the
  /// request.
  bool nothingRan() const;

  /// Discards all results and pins \p NewSnapshot. May be called only if
  /// restartAllowed().
  void restartOn(std::shared_ptr<const index_snapshot> NewSnapshot);

  /// \returns how often the request has restarted; attempts of an earlier
  /// generation belong to another snapshot.
  unsigned generation() const { return Generation; }

  /// \returns whether the request may restart on another snapshot.
  bool restartAllowed() const { return Profile.MayRepeat || nothingRan(); }

  /// \returns the number of attempts sent so far, including those before a
  /// restart.
  std::size_t attempts() const { return Attempts; }

  /// \returns the shards without a result, each with its cause.
  std::vector<shard_gap> missing() const;

  /// \returns whether every shard answered.
  bool complete() const;

  /// \returns whether waiting can't help: no further shard can get a result,
  /// or too few can to reach the profile's coverage.
  bool cannotReachCoverage() const;

  /// Records that an upstream no longer holds the pinned snapshot.
  void setSnapshotRetired() { SnapshotRetired = true; }

  /// \returns whether the request is to restart once a newer snapshot is in
  /// force.
  bool awaitsSnapshot() const { return SnapshotRetired && restartAllowed(); }

  /// Ends the run at \p Now. \returns the outcome for the caller, by the state
  /// at this instant. Moves the results out.
  query_outcome finish(time_point Now);

private:
  struct shard_state {
    std::vector<std::string> Tried;
    std::vector<attempt_id> Open;
    bool Attempted = false;
    /// Whether an ended attempt may have run, with or without a result.
    bool MayHaveRun = false;
    /// Number of ended attempts that may have run.
    unsigned PossibleRuns = 0;
    /// Whether an attempt has reached an upstream, which may have refused it.
    bool ReachedUpstream = false;
    /// Number of consecutive attempts that were not sent.
    std::size_t ConsecutiveUnsent = 0;
    /// Whether the first attempt has earned credit in the load budget.
    bool FirstAttemptRecorded = false;
    /// Why the shard gets no further attempt; empty if it may get one.
    std::optional<gap_cause> Abandoned;
  };

  bool attemptsLeft(const shard_state &State) const;

  void closeAttempt(std::size_t Shard, attempt_id Attempt);

  query_arrived Request;
  query_fingerprint Fingerprint;
  std::shared_ptr<const std::string> Body;
  profile Profile;
  std::shared_ptr<const index_snapshot> Snapshot;
  time_point Deadline;
  time_point AnswerBy;
  bool PastTarget = false;
  std::shared_ptr<const route> Route;
  /// Latest failure response, for routes that forward the only response.
  std::optional<shard_result> Failure;
  partial_answer Partial;
  std::vector<shard_state> Shards;
  /// When its abandoned shards can be served again, if that is known.
  std::optional<std::chrono::milliseconds> RetryAfter;
  run_claim Claim;
  unsigned Generation = 0;
  std::size_t Attempts = 0;
  bool SnapshotRetired = false;
  /// Whether an attempt of an earlier generation may have run.
  bool MayHaveRunEarlier = false;
};

} // namespace masticproxy

#endif
