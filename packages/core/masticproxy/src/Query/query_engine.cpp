#include "masticproxy/src/Query/query_engine.h"

#include "masticproxy/src/Query/query_catalogue.h"
#include "masticproxy/src/Query/request_fingerprint.h"

#include <algorithm>

using namespace masticproxy;
using std::chrono::milliseconds;

namespace {

/// How often the engine checks whether a queued shard can start.
constexpr std::chrono::milliseconds WaitingPollInterval{5};

/// Maximum number of shards that start from one upstream's queue at one timer
/// event.
constexpr int MaxWaitingRounds = 8;

} // namespace

query_engine::query_engine(const clock &Clock, engine_limits Limits)
    : Clock(Clock), Limits(std::move(Limits)),
      Catalogue(std::make_shared<const query_catalogue>()),
      Upstreams(makePolicy(this->Limits.Policy, this->Limits.Seed,
                           this->Limits.Tuning)),
      Admission(this->Limits.Queries), Inbox(this->Limits.Relayed),
      Poison(Clock, this->Limits.ProbeFirst), CauseCheck(Clock), Reach(Clock),
      Indexes(this->Limits.Seed) {
  if (this->Limits.Quota)
    Quota.emplace(*this->Limits.Quota);
  Upstreams.setDataCentre(this->Limits.DataCentre);
  Upstreams.setAllDataCentres(this->Limits.AllDataCentres);
  Upstreams.setSuspectSlow(this->Limits.SuspectSlow);
  Upstreams.setOwnConnections(this->Limits.UpstreamConnections,
                              this->Limits.RatePerConnection);
}

query_engine::~query_engine() = default;

std::vector<engine_command> query_engine::handle(engine_event Event) {
  std::visit([this](auto E) { on(std::move(E)); }, std::move(Event));
  Hedges.dropEnded([this](attempt_id Attempt) {
    auto Found = Attempts.find(Attempt);
    return Found != Attempts.end() && !Found->second.Cancelled;
  });
  sendDrainNotices();
  updateReachability();
  updateQuota();
  return std::exchange(Commands, {});
}

std::optional<time_point> query_engine::nextWakeup() const {
  // Drain notices are sent also while no request is in progress.
  std::optional<time_point> NoticeOrProbe = Upstreams.nextNotice();
  if (std::optional<time_point> Probe = Reach.nextProbe())
    NoticeOrProbe = std::min(NoticeOrProbe.value_or(*Probe), *Probe);
  if (std::optional<duration> Wait =
          Quota ? Quota->untilWakeup() : std::nullopt)
    NoticeOrProbe = std::min(NoticeOrProbe.value_or(Clock.now() + *Wait),
                             Clock.now() + *Wait);
  if (Deadlines.empty())
    return NoticeOrProbe;
  time_point Next = Deadlines.begin()->first;
  if (!Waiting.empty())
    Next = std::min(Next, Clock.now() + WaitingPollInterval);
  if (std::optional<time_point> Hedge = Hedges.next())
    Next = std::min(Next, *Hedge);
  return std::min(Next, NoticeOrProbe.value_or(Next));
}

void query_engine::on(query_arrived Event) {
  if (!Configured)
    return refuse(Event, not_run{"no configuration yet: neither the platform "
                                 "nor a peer gave one"});
  std::shared_ptr<const route> Route = resolveRoute(Event);
  if (Event.Forwarded && !Route)
    return refuse(Event, unknown_route{});
  if (Route && !resolveTeam(*Route, Event))
    return refuse(Event, unknown_key{});
  const profile *Profile = Catalogue->findProfile(Event.Profile);
  if (!Profile)
    return refuse(Event, unknown_profile{});
  const index_map *Index = Catalogue->findIndex(Event.Index);
  if (!Index)
    return refuse(Event, unknown_index{});
  query_fingerprint Fingerprint = fingerprintOf(Event);
  if (Poison.condemned(Fingerprint))
    return refuse(Event, poisonOutcome(Fingerprint, /*MayHaveRun=*/false));
  // Each time its caller sends it, a forwarded request gets a new id and
  // reaches one VM only, so no other VM could run it as well.
  bool NeedsClaim = !Profile->MayRepeat && !Route;
  if (NeedsClaim)
    if (std::optional<query_outcome> Refusal = checkRequestId(Event.RequestId))
      return refuse(Event, std::move(*Refusal));
  if (Leaving)
    return refuse(Event, not_run{"this VM is leaving"});
  if (Runs.contains(Event.Ticket))
    return;
  unsigned Priority = priorityOf(*Profile, Event);
  if (!takeQuota(Event, Priority))
    return;
  if (auto Refusal = Admission.admit(*Profile))
    return refuse(Event, not_run{std::string(toString(*Refusal))});

  query_ticket Ticket = Event.Ticket;
  time_point Now = Event.ArrivedAt.value_or(Clock.now());
  profile Rules = *Profile;
  Rules.Priority = Priority;
  Rules.Wait = std::min(Rules.Wait, Event.CallerWait.value_or(Rules.Wait));
  if (LeavesAt)
    Rules.Wait =
        std::clamp(std::chrono::duration_cast<milliseconds>(*LeavesAt - Now),
                   milliseconds(0), Rules.Wait);
  query_run NewRun(std::move(Event), Rules, Index->Current, Now + Rules.Wait);
  if (Route)
    NewRun.follow(std::move(Route));
  if (Rules.TargetLatency.count() > 0)
    NewRun.setAnswerBy(Now + Rules.TargetLatency - Limits.AnswerMargin);
  auto Position = Runs.emplace(Ticket, std::move(NewRun)).first;
  Deadlines.emplace(Position->second.due(), Ticket);
  if (NeedsClaim)
    return awaitClaim(Ticket, Position->second);
  abandonUnservedShards(Position->second);
  if (!Position->second.cannotReachCoverage())
    startShards(Ticket, Position->second);
  finishIfOver(Ticket);
}

void query_engine::on(attempt_answered Event) {
  std::optional<attempt_record> Record = endAttempt(Event.Attempt);
  if (!Record)
    return;
  Reach.recordResponse(Record->Upstream);
  query_run *Run = findRun(*Record);
  if (Run && Run->isFailure(Event.Result)) {
    Run->keepFailure(std::move(Event.Result));
    return onFailure(*Record, {Event.Attempt, attempt_failure::Failed});
  }
  if (Record->Relayed)
    Router.attemptAnswered(Record->Upstream);
  else
    recordAttemptEnd(*Record, /*Failure=*/nullptr);
  recordAnswer(Event, *Record);
  if (Run) {
    bool Added = Run->attemptAnswered(Record->Shard, Event.Attempt,
                                      std::move(Event.Result));
    if (Added)
      cancelRedundant(*Run, Record->Shard);
    startShard(Record->Ticket, *Run, Record->Shard);
    finishIfOver(Record->Ticket);
  }
  startWaiting(Waiting.takeFor(Record->Upstream));
}

void query_engine::on(attempt_failed Event) {
  std::optional<attempt_record> Record = endAttempt(Event.Attempt);
  if (!Record)
    return;
  if (Event.Failure == attempt_failure::Misdirected)
    Upstreams.misdirected(Record->Process, Record->Upstream, Clock.now());
  if (Event.Failure == attempt_failure::Refused)
    Reach.recordResponse(Record->Upstream);
  if (Event.AtLimit)
    Upstreams.atLimit(Record->Upstream, Clock.now());
  onFailure(*Record, Event);
}

void query_engine::onFailure(const attempt_record &Record,
                             const attempt_failed &Event) {
  recordAttemptEnd(Record, &Event.Failure);
  recordUpstreamDeath(Record, Event);
  continueAfterFailure(Record, Event);
  startWaiting(Waiting.takeFor(Record.Upstream));
}

void query_engine::continueAfterFailure(const attempt_record &Record,
                                        const attempt_failed &Event) {
  query_run *Run = findRun(Record);
  if (!Run)
    return;
  Run->attemptFailed(Record.Shard, Event.Attempt, Event.Failure);
  if (Event.Failure == attempt_failure::SnapshotGone && !Record.Cancelled)
    Run->setSnapshotRetired();
  // A request that was in flight when an upstream died may now be a suspect.
  // Its shards that are already waiting start before this one.
  if (Event.UpstreamDied)
    Waiting.add({Record.Ticket, Record.Shard}, replicasOf(*Run, Record.Shard),
                Run->waitingClass());
  else if (!restartIfDue(Record.Ticket, *Run))
    startShard(Record.Ticket, *Run, Record.Shard);
  finishIfOver(Record.Ticket);
}

void query_engine::on(catalogue_changed Event) {
  Catalogue = std::move(Event.Catalogue);
  Configured = true;
  if (Quota)
    Quota->setTeams(Catalogue->sharedTeams());
  Admission.setProfiles(Catalogue->profileNames());
  if (Limits.AllDataCentres)
    Reach.follow(Catalogue->addressesOutside(Limits.DataCentre));
  for (auto &[Ticket, Run] : Runs)
    restartIfDue(Ticket, Run);
  recordRestartedUpstreams();
}

void query_engine::on(timer_fired) {
  time_point Now = Clock.now();
  while (!Deadlines.empty() && Deadlines.begin()->first <= Now)
    onDue(Runs.find(Deadlines.begin()->second));
  startAllWaiting();
  startDueHedges();
}

void query_engine::on(const caller_left &Event) {
  if (Quota && Quota->drop(Event.Ticket))
    return;
  auto Run = Runs.find(Event.Ticket);
  if (Run != Runs.end())
    finishWith(Run, caller_gone{});
}

void query_engine::on(const upstream_probed &Event) {
  if (Event.Reached)
    Reach.recordResponse(Event.Upstream);
  checkCommonCause(Event);
}

void query_engine::updateReachability() {
  Reach.evaluate();
  // During a network partition, attempts at other data centres would be in
  // flight until they time out.
  Upstreams.setAllDataCentres(Limits.AllDataCentres && !Reach.isPartitioned());
  for (std::string &Upstream : Reach.takeProbes())
    Commands.emplace_back(probe_upstream{std::move(Upstream)});
}

void query_engine::onDue(run_map::iterator Run) {
  bool Over = Run->second.deadline() <= Clock.now();
  if (Over || Run->second.hasEnoughCoverage())
    return finish(Run);
  Deadlines.erase({Run->second.due(), Run->first});
  Run->second.setPastTarget();
  Deadlines.emplace(Run->second.due(), Run->first);
}

std::span<const replica> query_engine::replicasOf(const query_run &Run,
                                                  std::size_t Shard) const {
  return Catalogue->replicasOf(Run.snapshot().Shards[Shard]);
}

void query_engine::startShards(query_ticket Ticket, query_run &Run) {
  for (std::size_t Shard : shardOrder(Run))
    startShard(Ticket, Run, Shard);
}

void query_engine::startShard(query_ticket Ticket, query_run &Run,
                              std::size_t Shard) {
  if (!Run.needsAttempt(Shard))
    return;
  std::span<const replica> Replicas = replicasOf(Run, Shard);
  if (abandonUnserved(Run, Shard))
    return;
  if (Run.forwardRoute() && Run.isUnreachable(Shard, Replicas.size()))
    return Run.abandonShard(Shard, gap_cause::NotConnected);
  bool Retry = Run.wasAttempted(Shard);
  if (Retry && !Upstreams.hasRetry(Run.loadBudget(Shard), Clock.now()))
    return awaitBudget(Ticket, Run, Shard);
  // A relay is tried before the policy, not only when no replica is left: the
  // policy would go on choosing among replicas that all look bad, and each of
  // those attempts costs a retry.
  if (startRelay(Ticket, Run, Shard))
    return chargeLoadBudget(Run, Shard, Retry);
  const replica *Chosen =
      Upstreams.choose(Replicas, Run.tried(Shard), Clock.now());
  if (!Chosen) {
    // Every replica was tried or is busy: allow each of them to be tried again.
    Run.forgetTried(Shard);
    Waiting.add({Ticket, Shard}, Replicas, Run.waitingClass());
    return;
  }
  if (!Poison.mayStart(Run.fingerprint(), Chosen->process()))
    return Waiting.add({Ticket, Shard}, Replicas, Run.waitingClass());
  chargeLoadBudget(Run, Shard, Retry);
  send(Ticket, Run, Shard, *Chosen,
       Retry ? attempt_kind::Retry : attempt_kind::First);
}

void query_engine::awaitBudget(query_ticket Ticket, query_run &Run,
                               std::size_t Shard) {
  // The caller of a forwarded request can repeat it, which is a first attempt
  // and needs no budget.
  bool Unaffordable =
      Run.forwardRoute() &&
      !Upstreams.hasRetry(Run.loadBudget(Shard), Run.deadline());
  if (Unaffordable)
    return Run.abandonShard(Shard, gap_cause::NoBudget);
  Waiting.addForBudget({Ticket, Shard}, Run.waitingClass());
}

void query_engine::chargeLoadBudget(query_run &Run, std::size_t Shard,
                                    bool Retry) {
  std::string_view Budget = Run.loadBudget(Shard);
  if (Retry)
    Upstreams.takeRetry(Budget, Clock.now());
  // A restarted request repeats work, so it earns no further attempts.
  else if (Run.generation() == 0 && Run.recordFirstAttempt(Shard))
    Upstreams.firstAttempt(Budget, Clock.now());
}

void query_engine::send(query_ticket Ticket, query_run &Run, std::size_t Shard,
                        const replica &Target, attempt_kind Kind) {
  attempt_id Attempt = NextAttempt++;
  Poison.started(Attempt, Run.fingerprint(), Target.process(),
                 Run.snapshot().Shards[Shard].Id, Target.Address);
  Upstreams.attemptStarted(Target.Address, Clock.now());
  if (isRemote(Target))
    Reach.recordSent(Target.Address);
  Run.attemptStarted(Shard, Attempt, Target.Address);
  auto Added = Attempts.emplace(
      Attempt, attempt_record{Ticket, Shard, Run.generation(), Target.Address,
                              /*Relayed=*/false, std::string(Target.process()),
                              Run.latencyClass(), Kind, Clock.now()});
  Added.first->second.Signed = Run.forwardRoute() != nullptr;
  if (Run.pinnedProfile().MayRepeat && Kind != attempt_kind::Hedge)
    scheduleHedge(Attempt, Added.first->second);
  Commands.push_back(send_attempt{
      Attempt, Run.requestId(), Target.Address, Run.indexName(),
      Run.snapshot().Id, Run.snapshot().Shards[Shard].Id, Run.body(),
      Run.deadline(), Kind, Target.Connections, Run.forwarded(), Run.team(),
      Target.Instance, std::string(Target.process())});
}

void query_engine::startWaiting(std::optional<waiting_shard> Next) {
  if (!Next)
    return;
  auto Run = Runs.find(Next->Ticket);
  if (Run == Runs.end() || Next->Shard >= Run->second.snapshot().Shards.size())
    return;
  startShard(Next->Ticket, Run->second, Next->Shard);
  finishIfOver(Next->Ticket);
}

void query_engine::startAllWaiting() {
  std::size_t Before = 0;
  int Rounds = 0;
  do {
    Before = Waiting.size();
    for (waiting_shard Next : Waiting.takeHeads())
      startWaiting(Next);
  } while (Waiting.size() < Before && ++Rounds < MaxWaitingRounds);
  // Shards whose load budget still allows no retry are queued again.
  for (waiting_shard Next : Waiting.takeAllForBudget())
    startWaiting(Next);
}

bool query_engine::isUpstreamFailure(const attempt_record &Cancelled,
                                     attempt_failure Failure) {
  bool NoAnswer = Failure == attempt_failure::Unknown ||
                  Failure == attempt_failure::NotSent;
  // An attempt that was stopped ended because this VM cancelled it. One that
  // was left to run had as much time as its caller.
  return Failure == attempt_failure::Draining ||
         (NoAnswer && !Cancelled.Stopped);
}

void query_engine::recordAttemptEnd(const attempt_record &Record,
                                    const attempt_failure *Failure) {
  time_point Now = Clock.now();
  // The age of a cancelled attempt was recorded when it was cancelled.
  if (Record.Cancelled && !(Failure && isUpstreamFailure(Record, *Failure)))
    return;
  attempt_facts Facts{Record.Upstream, Record.Index, Record.Kind,
                      Now - Record.SentAt};
  if (Failure)
    Upstreams.failed(Facts, *Failure, Now);
  else
    Upstreams.answered(Facts, Now);
}

std::optional<query_engine::attempt_record>
query_engine::endAttempt(attempt_id Attempt) {
  auto Found = Attempts.find(Attempt);
  if (Found == Attempts.end())
    return std::nullopt;
  attempt_record Record = std::move(Found->second);
  Attempts.erase(Found);
  if (!Record.Relayed)
    Upstreams.attemptEnded(Record.Upstream);
  return Record;
}

query_run *query_engine::findRun(const attempt_record &Record) {
  auto Found = Runs.find(Record.Ticket);
  bool Current =
      Found != Runs.end() && Found->second.generation() == Record.Generation;
  return Current ? &Found->second : nullptr;
}

bool query_engine::restartIfDue(query_ticket Ticket, query_run &Run) {
  if (!Run.awaitsSnapshot())
    return false;
  // The origin VM pinned the snapshot, so only it may restart the request.
  if (relay_inbox::owns(Ticket))
    return true;
  const index_map *Index = Catalogue->findIndex(Run.indexName());
  bool Newer = Index && Index->Current->Id != Run.snapshot().Id;
  if (!Newer)
    return false;
  cancelOpen(Run, /*Stop=*/true);
  Run.restartOn(Index->Current);
  startShards(Ticket, Run);
  return true;
}
