#ifndef MASTICPROXY_QUERY_QUERY_RUN_H
#define MASTICPROXY_QUERY_QUERY_RUN_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Poison/query_fingerprint.h"
#include "masticproxy/src/Query/engine_event.h"
#include "masticproxy/src/Query/index_map.h"
#include "masticproxy/src/Query/partial_answer.h"
#include "masticproxy/src/Query/profile.h"
#include "masticproxy/src/Query/query_outcome.h"
#include "masticproxy/src/Query/run_claim.h"

#include <memory>
#include <optional>
#include <span>
#include <string>
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

  const std::string &requestId() const { return Request.RequestId; }
  const std::string &indexName() const { return Request.Index; }
  const std::shared_ptr<const std::string> &body() const { return Body; }
  query_fingerprint fingerprint() const { return Fingerprint; }
  const profile &rules() const { return Profile; }
  time_point deadline() const { return Deadline; }

  /// \returns the claim that the run needs before it may start.
  run_claim &claim() { return Claim; }
  const run_claim &claim() const { return Claim; }

  /// \returns whether the shard needs an attempt now: it has no result, no
  /// open attempt, and a further attempt is allowed.
  bool wantsAttempt(std::size_t Shard) const;

  /// \returns whether the shard has been attempted on the pinned snapshot.
  bool wasAttempted(std::size_t Shard) const { return Shards[Shard].Attempted; }

  /// \returns whether a second attempt may run beside the only open one.
  bool mayHedge(std::size_t Shard) const;

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
  };

  void closeAttempt(std::size_t Shard, attempt_id Attempt);

  query_arrived Request;
  std::shared_ptr<const std::string> Body;
  query_fingerprint Fingerprint;
  profile Profile;
  std::shared_ptr<const index_snapshot> Snapshot;
  time_point Deadline;
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
