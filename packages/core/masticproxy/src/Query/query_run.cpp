#include "masticproxy/src/Query/query_run.h"

#include "masticproxy/src/Query/request_fingerprint.h"
#include "masticproxy/src/Query/status_class.h"

#include <algorithm>
#include <utility>

using namespace masticproxy;

namespace {

/// Number of times that each upstream of a shard is tried before the shard
/// counts as unreachable. A second try helps if an upstream is restarting.
constexpr std::size_t UnreachableRounds = 2;

/// Retry delay for a caller whose upstreams can't be reached or accept no
/// request. A crashed upstream is back after seconds, and another VM may be
/// able to reach the upstreams.
constexpr std::chrono::milliseconds UnreachableRetryAfter{1000};

} // namespace

query_run::query_run(query_arrived NewRequest, profile NewProfile,
                     std::shared_ptr<const index_snapshot> NewSnapshot,
                     time_point NewDeadline)
    : Request(std::move(NewRequest)), Fingerprint(fingerprintOf(Request)),
      Body(std::make_shared<const std::string>(std::move(Request.Body))),
      Profile(std::move(NewProfile)), Snapshot(std::move(NewSnapshot)),
      Deadline(NewDeadline), AnswerBy(NewDeadline),
      Partial(Request.RequestId, Snapshot), Shards(Snapshot->Shards.size()) {}

bool query_run::needsAttempt(std::size_t Shard) const {
  const shard_state &State = Shards[Shard];
  if (Claim.isAwaited())
    return false;
  if (Partial.has(Shard) || !State.Open.empty())
    return false;
  if (State.Abandoned || !attemptsLeft(State))
    return false;
  return Profile.MayRepeat || !State.MayHaveRun;
}

bool query_run::mayHedge(std::size_t Shard) const {
  bool OneOpen = Shards[Shard].Open.size() == 1;
  return Profile.MayRepeat && OneOpen && !Partial.has(Shard) &&
         attemptsLeft(Shards[Shard]);
}

bool query_run::mostOthersAnswered() const {
  coverage Covered = Partial.coverageSoFar();
  return !Route || Covered.Asked <= 1 || 2 * Covered.Answered >= Covered.Asked;
}

bool query_run::attemptsLeft(const shard_state &State) const {
  return Profile.Attempts == 0 ||
         State.PossibleRuns + State.Open.size() < Profile.Attempts;
}

bool query_run::hasEnoughCoverage() const {
  coverage Covered = Partial.coverageSoFar();
  return Covered.Answered > 0 && Covered.share() >= Profile.Coverage;
}

void query_run::attemptStarted(std::size_t Shard, attempt_id Attempt,
                               std::string Upstream) {
  Shards[Shard].Tried.push_back(std::move(Upstream));
  Shards[Shard].Open.push_back(Attempt);
  Shards[Shard].Attempted = true;
  ++Attempts;
}

bool query_run::attemptAnswered(std::size_t Shard, attempt_id Attempt,
                                upstream_result Result) {
  closeAttempt(Shard, Attempt);
  Shards[Shard].ReachedUpstream = true;
  Shards[Shard].MayHaveRun = true;
  ++Shards[Shard].PossibleRuns;
  return Partial.add(std::move(Result));
}

bool query_run::isFailure(const upstream_result &Result) const {
  if (!Route)
    return false;
  if (Route->Form == answer_form::Whole)
    return Result.Status >= FirstServerError;
  return Result.Status < FirstSuccess || Result.Status >= FirstRedirection;
}

void query_run::keepFailure(upstream_result Result) {
  if (Route->Form == answer_form::Whole)
    Failure = toShardResult(std::move(Result));
}

void query_run::attemptFailed(std::size_t Shard, attempt_id Attempt,
                              attempt_failure Failure) {
  closeAttempt(Shard, Attempt);
  shard_state &State = Shards[Shard];
  bool WasSent = Failure != attempt_failure::NotSent;
  State.ReachedUpstream = State.ReachedUpstream || WasSent;
  State.ConsecutiveUnsent = WasSent ? 0 : State.ConsecutiveUnsent + 1;
  bool MayHaveRun =
      Failure == attempt_failure::Unknown || Failure == attempt_failure::Failed;
  if (MayHaveRun) {
    State.MayHaveRun = true;
    ++State.PossibleRuns;
  }
  // An attempt that was not sent causes no load at an upstream, so the next
  // attempt at the shard of a forwarded request counts as its first.
  if (Route && !State.ReachedUpstream && State.Open.empty())
    State.Attempted = false;
}

bool query_run::wasTriedAt(std::string_view Upstream) const {
  return std::any_of(Shards.begin(), Shards.end(),
                     [Upstream](const shard_state &S) {
                       return std::find(S.Tried.begin(), S.Tried.end(),
                                        Upstream) != S.Tried.end();
                     });
}

bool query_run::isUnreachable(std::size_t Shard, std::size_t Replicas) const {
  return Shards[Shard].ConsecutiveUnsent >= UnreachableRounds * Replicas;
}

bool query_run::nothingRan() const {
  return !MayHaveRunEarlier &&
         std::all_of(Shards.begin(), Shards.end(), [](const shard_state &S) {
           return S.Open.empty() && !S.MayHaveRun;
         });
}

void query_run::restartOn(std::shared_ptr<const index_snapshot> NewSnapshot) {
  MayHaveRunEarlier = !nothingRan();
  Snapshot = std::move(NewSnapshot);
  Partial = partial_answer(Request.RequestId, Snapshot);
  Shards.assign(Snapshot->Shards.size(), shard_state{});
  ++Generation;
  SnapshotRetired = false;
}

std::vector<shard_gap> query_run::missing() const {
  std::vector<shard_gap> Gaps;
  for (std::size_t I = 0; I < Shards.size(); ++I)
    if (!Partial.has(I))
      Gaps.push_back({Snapshot->Shards[I].Id,
                      Shards[I].Abandoned.value_or(gap_cause::Late)});
  return Gaps;
}

bool query_run::complete() const {
  coverage Covered = Partial.coverageSoFar();
  return Covered.Answered == Covered.Asked;
}

bool query_run::cannotReachCoverage() const {
  if (Claim.isAwaited())
    return false;
  coverage Reachable = Partial.coverageSoFar();
  for (std::size_t I = 0; I < Shards.size(); ++I)
    if (!Partial.has(I) && (!Shards[I].Open.empty() || needsAttempt(I)))
      ++Reachable.Answered;
  return Reachable.Answered == Partial.coverageSoFar().Answered ||
         Reachable.share() < Profile.Coverage;
}

query_outcome query_run::finish(time_point Now) {
  coverage Covered = Partial.coverageSoFar();
  // A snapshot without shards is complete by definition. A forwarded request
  // has no answer that no upstream gave.
  bool NoneAsked = Covered.Asked == 0 && !Route;
  if (NoneAsked || hasEnoughCoverage())
    return answered{
        std::string(Partial.snapshot()), Covered, Partial.takeResults(),
        Route ? Route->Form : answer_form::Listed, Route ? Route->Records : 0};
  if (Failure)
    return answered{std::string(Partial.snapshot()),
                    Covered,
                    {std::move(*Failure)},
                    answer_form::Whole};
  if (Claim.isAwaited())
    return not_run{"no claim was confirmed within the profile's wait"};
  if (nothingRan() && cannotReachCoverage())
    return not_run{"no upstream that serves it can be reached, or takes it",
                   RetryAfter.value_or(UnreachableRetryAfter)};
  if (nothingRan())
    return not_run{"no upstream took the request within the profile's wait"};
  if (!Profile.MayRepeat)
    return outcome_unknown{"the request may have run on some shards"};
  // Nothing timed out: its upstreams failed, or can't be reached.
  if (Route && Now < Deadline)
    return outcome_unknown{"too few shards gave an answer"};
  return too_late{Covered};
}

void query_run::closeAttempt(std::size_t Shard, attempt_id Attempt) {
  std::erase(Shards[Shard].Open, Attempt);
}
