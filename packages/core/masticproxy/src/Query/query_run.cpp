#include "masticproxy/src/Query/query_run.h"

#include "masticproxy/src/Query/request_fingerprint.h"

#include <algorithm>
#include <utility>

using namespace masticproxy;

namespace {

/// Statuses of success, and the first that says that the upstream failed.
constexpr unsigned FirstSuccess = 200;
constexpr unsigned FirstRedirection = 300;
constexpr unsigned FirstServerError = 500;

/// How often each upstream of a shard is tried before the shard counts as
/// unreachable: a second time, as one may be restarting.
constexpr std::size_t UnreachableRounds = 2;

/// Pause for a caller whose upstreams can't be reached or take nothing: a
/// crashed one is back after seconds, and another VM may reach them.
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

bool query_run::wantsAttempt(std::size_t Shard) const {
  const shard_state &State = Shards[Shard];
  if (Claim.awaited())
    return false;
  if (Partial.has(Shard) || !State.Open.empty())
    return false;
  if (State.GivenUp || !attemptsLeft(State))
    return false;
  return Profile.MayRepeat || !State.MayHaveRun;
}

bool query_run::mayHedge(std::size_t Shard) const {
  bool OneOpen = Shards[Shard].Open.size() == 1;
  return Profile.MayRepeat && OneOpen && !Partial.has(Shard) &&
         attemptsLeft(Shards[Shard]);
}

bool query_run::lateByItself() const {
  coverage Stated = Partial.stated();
  return !Route || Stated.Asked <= 1 || 2 * Stated.Answered >= Stated.Asked;
}

bool query_run::attemptsLeft(const shard_state &State) const {
  return Profile.Attempts == 0 ||
         State.Ran + State.Open.size() < Profile.Attempts;
}

bool query_run::enough() const {
  coverage Stated = Partial.stated();
  return Stated.Answered > 0 && Stated.share() >= Profile.Coverage;
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
  Shards[Shard].Arrived = true;
  Shards[Shard].MayHaveRun = true;
  ++Shards[Shard].Ran;
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
  bool Sent = Failure != attempt_failure::NotSent;
  State.Arrived = State.Arrived || Sent;
  State.Unsent = Sent ? 0 : State.Unsent + 1;
  bool MayHaveRun =
      Failure == attempt_failure::Unknown || Failure == attempt_failure::Failed;
  if (MayHaveRun) {
    State.MayHaveRun = true;
    ++State.Ran;
  }
  // What never left costs no upstream anything, so the next attempt at the
  // shard of a forwarded request is its first.
  if (Route && !State.Arrived && State.Open.empty())
    State.Attempted = false;
}

bool query_run::unreachable(std::size_t Shard, std::size_t Replicas) const {
  return Shards[Shard].Unsent >= UnreachableRounds * Replicas;
}

bool query_run::nothingRan() const {
  return !RanEarlier &&
         std::all_of(Shards.begin(), Shards.end(), [](const shard_state &S) {
           return S.Open.empty() && !S.MayHaveRun;
         });
}

void query_run::restartOn(std::shared_ptr<const index_snapshot> NewSnapshot) {
  RanEarlier = !nothingRan();
  Snapshot = std::move(NewSnapshot);
  Partial = partial_answer(Request.RequestId, Snapshot);
  Shards.assign(Snapshot->Shards.size(), shard_state{});
  ++Generation;
  SnapshotGone = false;
}

std::vector<shard_gap> query_run::missing() const {
  std::vector<shard_gap> Gaps;
  for (std::size_t I = 0; I < Shards.size(); ++I)
    if (!Partial.has(I))
      Gaps.push_back({Snapshot->Shards[I].Id,
                      Shards[I].GivenUp.value_or(gap_cause::Late)});
  return Gaps;
}

bool query_run::complete() const {
  coverage Stated = Partial.stated();
  return Stated.Answered == Stated.Asked;
}

bool query_run::hopeless() const {
  if (Claim.awaited())
    return false;
  coverage Reachable = Partial.stated();
  for (std::size_t I = 0; I < Shards.size(); ++I)
    if (!Partial.has(I) && (!Shards[I].Open.empty() || wantsAttempt(I)))
      ++Reachable.Answered;
  return Reachable.Answered == Partial.stated().Answered ||
         Reachable.share() < Profile.Coverage;
}

query_outcome query_run::finish() {
  coverage Stated = Partial.stated();
  // An empty snapshot has nothing left to ask: it is complete by definition.
  bool Enough = Stated.Asked == 0 || Stated.share() >= Profile.Coverage;
  if (Enough)
    return answered{
        std::string(Partial.snapshot()), Stated, Partial.takeResults(),
        Route ? Route->Form : answer_form::Listed, Route ? Route->Records : 0};
  if (Failure)
    return answered{std::string(Partial.snapshot()),
                    Stated,
                    {std::move(*Failure)},
                    answer_form::Whole};
  if (Claim.awaited())
    return not_run{"no claim was confirmed within the profile's wait"};
  if (nothingRan() && hopeless())
    return not_run{"no upstream that serves it can be reached, or takes it",
                   UnreachableRetryAfter};
  if (nothingRan())
    return not_run{"no upstream took the request within the profile's wait"};
  if (!Profile.MayRepeat)
    return outcome_unknown{"the request may have run on some shards"};
  return too_late{Stated};
}

void query_run::closeAttempt(std::size_t Shard, attempt_id Attempt) {
  std::erase(Shards[Shard].Open, Attempt);
}
