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

/// \brief One admitted request: its pinned snapshot, what each shard has done
/// so far, and when it is over.
class query_run {
public:
  /// Admits \p Request under \p Profile, pinned to \p Snapshot, to be over at
  /// \p Deadline.
  query_run(query_arrived Request, profile Profile,
            std::shared_ptr<const index_snapshot> Snapshot,
            time_point Deadline);

  /// \returns the pinned snapshot.
  const index_snapshot &snapshot() const { return *Snapshot; }

  /// Lets the request go the way of \p NewRoute, which bounds its attempts and
  /// forms its answer.
  void follow(std::shared_ptr<const route> NewRoute) {
    Route = std::move(NewRoute);
  }

  /// \returns the route of a forwarded request, or null.
  const route *way() const { return Route.get(); }

  /// \returns the caller's request where upstreams get it as it came.
  const std::shared_ptr<const forwarded_request> &forwarded() const {
    return Request.Forwarded;
  }

  const std::string &requestId() const { return Request.RequestId; }
  const std::string &indexName() const { return Request.Index; }
  const std::shared_ptr<const std::string> &body() const { return Body; }
  query_fingerprint fingerprint() const { return Fingerprint; }
  const profile &rules() const { return Profile; }
  /// \returns the line in which its shards wait.
  waiting_class line() const { return {Profile.Name, Profile.Priority}; }
  time_point deadline() const { return Deadline; }

  /// \returns the queries whose latencies are like this one's.
  const std::string &latencyClass() const {
    return Route ? Profile.Name : Request.Index;
  }

  /// \returns the load budget that pays for attempts at a shard: forwarded
  /// requests have one for each shard, the others share one.
  std::string_view loadBudget(std::size_t Shard) const {
    return Route ? std::string_view(Snapshot->Shards[Shard].Id)
                 : std::string_view();
  }

  /// \returns whether upstreams are told to stop attempts that are no longer
  /// needed. Those of a forwarded request run to their end: their connections
  /// stay usable, and a new one costs the upstream more.
  bool stopsLosers() const { return !Route; }

  /// Sets when an answer of the least coverage is given, without waiting on.
  void setAnswerBy(time_point Time) { AnswerBy = std::min(Time, Deadline); }

  /// \returns when the run is next looked at for its time: when an answer of
  /// the least coverage is due, then its deadline.
  time_point due() const { return Late ? Deadline : AnswerBy; }

  /// Notes that too few shards had answered when an answer was due.
  void setLate() { Late = true; }

  /// \returns whether the first answer of the least coverage is given at once.
  bool late() const { return Late; }

  /// \returns whether the results suffice for the profile's coverage.
  bool enough() const;

  /// \returns the claim that the run needs before it may start.
  run_claim &claim() { return Claim; }
  const run_claim &claim() const { return Claim; }

  /// \returns whether the shard needs an attempt now: it has no result, no
  /// open attempt, and a further attempt is allowed.
  bool wantsAttempt(std::size_t Shard) const;

  /// \returns whether the shard has been attempted on the pinned snapshot.
  bool wasAttempted(std::size_t Shard) const { return Shards[Shard].Attempted; }

  /// \returns whether this is the first call for the shard: a first attempt
  /// earns a share of a further one only once.
  bool earns(std::size_t Shard) {
    return !std::exchange(Shards[Shard].Earned, true);
  }

  /// Notes that the shard gets no further attempt.
  void giveUp(std::size_t Shard, gap_cause Cause) {
    Shards[Shard].GivenUp = Cause;
  }

  /// \returns whether none of the shard's \p Replicas upstreams can be reached:
  /// attempts at each of them, one after the other, never left this VM.
  bool unreachable(std::size_t Shard, std::size_t Replicas) const;

  /// \returns whether a second attempt may run beside the only open one.
  bool mayHedge(std::size_t Shard) const;

  /// \returns whether a shard without a result is late by itself: most of the
  /// others have one. Told of forwarded requests only, which have a load budget
  /// for each shard.
  bool lateByItself() const;

  /// \returns the upstreams already tried for a shard.
  std::span<const std::string> tried(std::size_t Shard) const {
    return Shards[Shard].Tried;
  }

  /// \returns the attempts that are open at a shard.
  std::span<const attempt_id> openAttempts(std::size_t Shard) const {
    return Shards[Shard].Open;
  }

  /// Notes that \p Attempt went to \p Upstream for \p Shard.
  void attemptStarted(std::size_t Shard, attempt_id Attempt,
                      std::string Upstream);

  /// Notes a result. \returns whether it entered the answer.
  bool attemptAnswered(std::size_t Shard, attempt_id Attempt,
                       upstream_result Result);

  /// \returns whether \p Result is no result for this request. A response
  /// that is passed on whole may well be a refusal of the caller's request.
  bool isFailure(const upstream_result &Result) const;

  /// Keeps a failure that an upstream answered with; the caller gets it if
  /// nothing better comes.
  void keepFailure(upstream_result Result);

  /// Notes that an attempt ended without a result.
  void attemptFailed(std::size_t Shard, attempt_id Attempt,
                     attempt_failure Failure);

  /// Forgets the replicas tried for a shard, so that they may be asked again.
  void forgetTried(std::size_t Shard) { Shards[Shard].Tried.clear(); }

  /// \returns whether no upstream can have run any part of the request.
  bool nothingRan() const;

  /// Drops all results and pins \p NewSnapshot. Only when restartAllowed().
  void restartOn(std::shared_ptr<const index_snapshot> NewSnapshot);

  /// \returns how often the request has started over; attempts of an earlier
  /// generation belong to another snapshot.
  unsigned generation() const { return Generation; }

  /// \returns whether the request may start over on another snapshot.
  bool restartAllowed() const { return Profile.MayRepeat || nothingRan(); }

  /// \returns the attempts sent so far, those before a restart included.
  std::size_t attempts() const { return Attempts; }

  /// \returns the shards without a result.
  std::vector<shard_gap> missing() const;

  /// \returns whether every shard answered.
  bool complete() const;

  /// \returns whether waiting is of no use: no shard can get a result any
  /// more, or too few can for the profile's coverage.
  bool hopeless() const;

  /// Notes that an upstream no longer holds the pinned snapshot.
  void snapshotGone() { SnapshotGone = true; }

  /// \returns whether the request should start over once a newer snapshot is
  /// in force.
  bool awaitsSnapshot() const { return SnapshotGone && restartAllowed(); }

  /// Ends the run. \returns what the caller is told at this instant.
  query_outcome finish();

private:
  struct shard_state {
    std::vector<std::string> Tried;
    std::vector<attempt_id> Open;
    bool Attempted = false;
    /// An attempt may have run and gave no result.
    bool MayHaveRun = false;
    /// Attempts that ended and may have run.
    unsigned Ran = 0;
    /// An attempt has reached an upstream, which may have refused it.
    bool Arrived = false;
    /// Attempts in a row that never left this VM.
    std::size_t Unsent = 0;
    /// A first attempt has earned its share of a further one.
    bool Earned = false;
    /// Why the shard gets no further attempt, where that is so.
    std::optional<gap_cause> GivenUp;
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
  bool Late = false;
  std::shared_ptr<const route> Route;
  /// Newest failure that an upstream answered with, for answers of one shard.
  std::optional<shard_result> Failure;
  partial_answer Partial;
  std::vector<shard_state> Shards;
  run_claim Claim;
  unsigned Generation = 0;
  std::size_t Attempts = 0;
  bool SnapshotGone = false;
  /// An attempt of an earlier generation may have run.
  bool RanEarlier = false;
};

} // namespace masticproxy

#endif
