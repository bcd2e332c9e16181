#include "masticproxy/src/Query/query_engine.h"

#include "masticproxy/src/Query/query_catalogue.h"
#include "masticproxy/src/Query/request_fingerprint.h"

using namespace masticproxy;

namespace {

/// How often shards that wait for a place look for one again.
constexpr std::chrono::milliseconds WaitingPoll{5};

/// Shards of one upstream's queue that may start at one look.
constexpr int WaitingRounds = 8;

} // namespace

query_engine::query_engine(const clock &Clock, engine_limits Limits)
    : Clock(Clock), Limits(std::move(Limits)),
      Catalogue(std::make_shared<const query_catalogue>()),
      Upstreams(makePolicy(this->Limits.Policy, this->Limits.Seed,
                           this->Limits.Tuning)),
      Admission(this->Limits.Queries), Inbox(this->Limits.Relayed),
      Poison(Clock, this->Limits.ProbeFirst), Reach(Clock),
      Indexes(this->Limits.Seed) {
  Upstreams.setDataCentre(this->Limits.DataCentre);
  Upstreams.speakToAll(this->Limits.AllDataCentres);
  Upstreams.suspectSlow(this->Limits.SuspectSlow);
  Upstreams.setOwnConnections(this->Limits.UpstreamConnections);
}

query_engine::~query_engine() = default;

std::vector<engine_command> query_engine::handle(engine_event Event) {
  std::visit([this](auto E) { on(std::move(E)); }, std::move(Event));
  Hedges.dropEnded([this](attempt_id Attempt) {
    auto Found = Attempts.find(Attempt);
    return Found != Attempts.end() && !Found->second.Cancelled;
  });
  tellDrains();
  watchReach();
  return std::exchange(Commands, {});
}

std::optional<time_point> query_engine::nextWakeup() const {
  // Drains are told also while no request is under way.
  std::optional<time_point> Notice = Upstreams.nextNotice();
  if (std::optional<time_point> Probe = Reach.nextProbe())
    Notice = std::min(Notice.value_or(*Probe), *Probe);
  if (Deadlines.empty())
    return Notice;
  time_point Next = Deadlines.begin()->first;
  if (!Waiting.empty())
    Next = std::min(Next, Clock.now() + WaitingPoll);
  if (std::optional<time_point> Hedge = Hedges.next())
    Next = std::min(Next, *Hedge);
  return std::min(Next, Notice.value_or(Next));
}

void query_engine::on(query_arrived Event) {
  if (!Configured)
    return refuse(Event, not_run{"no configuration yet: neither the platform "
                                 "nor a peer gave one"});
  std::shared_ptr<const route> Route = followRoute(Event);
  if (Event.Forwarded && !Route)
    return refuse(Event, unknown_route{});
  const profile *Profile = Catalogue->findProfile(Event.Profile);
  if (!Profile)
    return refuse(Event, unknown_profile{});
  const index_map *Index = Catalogue->findIndex(Event.Index);
  if (!Index)
    return refuse(Event, unknown_index{});
  if (Poison.condemned(fingerprintOf(Event)))
    return refuse(Event, condemned{});
  // A forwarded request has an id of its own for each try of its caller and
  // comes to one VM only, so no other VM could run it too.
  bool NeedsClaim = !Profile->MayRepeat && !Route;
  if (NeedsClaim)
    if (std::optional<query_outcome> Refusal = refusalOfId(Event.RequestId))
      return refuse(Event, std::move(*Refusal));
  if (Leaving)
    return refuse(Event, not_run{"this VM is leaving"});
  if (Runs.contains(Event.Ticket))
    return;
  if (auto Refusal = Admission.admit(*Profile))
    return refuse(Event, not_run{std::string(toString(*Refusal))});

  query_ticket Ticket = Event.Ticket;
  time_point Now = Clock.now();
  profile Rules = *Profile;
  Rules.Wait = std::min(Rules.Wait, Event.CallerWait.value_or(Rules.Wait));
  query_run NewRun(std::move(Event), Rules, Index->Current, Now + Rules.Wait);
  if (Route)
    NewRun.follow(std::move(Route));
  if (Rules.TargetLatency.count() > 0)
    NewRun.setAnswerBy(Now + Rules.TargetLatency - Limits.AnswerMargin);
  auto Position = Runs.emplace(Ticket, std::move(NewRun)).first;
  Deadlines.emplace(Position->second.due(), Ticket);
  if (NeedsClaim)
    return awaitClaim(Ticket, Position->second);
  giveUpUnserved(Position->second);
  if (!Position->second.hopeless())
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
    noteEnd(*Record, /*Failure=*/nullptr);
  Poison.answered(Event.Attempt);
  if (Run) {
    bool Added = Run->attemptAnswered(Record->Shard, Event.Attempt,
                                      std::move(Event.Result));
    if (Added)
      cancelOpen(*Run, Record->Shard, Run->stopsLosers());
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
    Upstreams.misdirected(Record->Instance);
  if (Event.Failure == attempt_failure::Refused)
    Reach.recordResponse(Record->Upstream);
  onFailure(*Record, Event);
}

void query_engine::onFailure(const attempt_record &Record,
                             const attempt_failed &Event) {
  noteEnd(Record, &Event.Failure);
  noteDeath(Event);
  goOnAfter(Record, Event);
  startWaiting(Waiting.takeFor(Record.Upstream));
}

void query_engine::goOnAfter(const attempt_record &Record,
                             const attempt_failed &Event) {
  query_run *Run = findRun(Record);
  if (!Run)
    return;
  Run->attemptFailed(Record.Shard, Event.Attempt, Event.Failure);
  if (Event.Failure == attempt_failure::SnapshotGone && !Record.Cancelled)
    Run->snapshotGone();
  // A suspect takes the shards that wait first.
  if (Event.UpstreamDied)
    Waiting.add({Record.Ticket, Record.Shard}, replicasOf(*Run, Record.Shard),
                Run->line());
  else if (!restartIfDue(Record.Ticket, *Run))
    startShard(Record.Ticket, *Run, Record.Shard);
  finishIfOver(Record.Ticket);
}

void query_engine::on(catalogue_changed Event) {
  Catalogue = std::move(Event.Catalogue);
  Configured = true;
  Admission.setProfiles(Catalogue->profileNames());
  if (Limits.AllDataCentres)
    Reach.follow(Catalogue->outside(Limits.DataCentre));
  for (auto &[Ticket, Run] : Runs)
    restartIfDue(Ticket, Run);
}

void query_engine::on(timer_fired) {
  time_point Now = Clock.now();
  while (!Deadlines.empty() && Deadlines.begin()->first <= Now)
    onDue(Runs.find(Deadlines.begin()->second));
  startAllWaiting();
  hedgeDue();
}

void query_engine::on(leave_started) { Leaving = true; }

void query_engine::on(const caller_left &Event) {
  auto Run = Runs.find(Event.Ticket);
  if (Run != Runs.end())
    finishWith(Run, caller_gone{});
}

void query_engine::on(const upstream_probed &Event) {
  if (Event.Reached)
    Reach.recordResponse(Event.Upstream);
}

void query_engine::watchReach() {
  Reach.evaluate();
  // Attempts across a cut would hang until they time out.
  Upstreams.speakToAll(Limits.AllDataCentres && !Reach.isPartitioned());
  for (std::string &Upstream : Reach.takeProbes())
    Commands.emplace_back(probe_upstream{std::move(Upstream)});
}

void query_engine::onDue(run_map::iterator Run) {
  bool Over = Run->second.deadline() <= Clock.now();
  if (Over || Run->second.enough())
    return finish(Run);
  Deadlines.erase({Run->second.due(), Run->first});
  Run->second.setLate();
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
  if (!Run.wantsAttempt(Shard))
    return;
  std::span<const replica> Replicas = replicasOf(Run, Shard);
  if (Run.way() && !Upstreams.withinReach(Replicas))
    return Run.giveUp(Shard, gap_cause::OutOfReach);
  if (Run.way() && Run.unreachable(Shard, Replicas.size()))
    return Run.giveUp(Shard, gap_cause::NotConnected);
  bool Retry = Run.wasAttempted(Shard);
  if (Retry && !Upstreams.hasRetry(Run.loadBudget(Shard), Clock.now()))
    return awaitBudget(Ticket, Run, Shard);
  // Not only where no replica is left: the policy goes on choosing among
  // replicas that all look bad, which costs a retry each.
  if (startRelay(Ticket, Run, Shard))
    return payFor(Run, Shard, Retry);
  const replica *Chosen =
      Upstreams.choose(Replicas, Run.tried(Shard), Clock.now());
  if (!Chosen) {
    // Every replica was tried or is busy: let it ask each of them once more.
    Run.forgetTried(Shard);
    Waiting.add({Ticket, Shard}, Replicas, Run.line());
    return;
  }
  if (!Poison.mayStart(Run.fingerprint(), Chosen->Address))
    return Waiting.add({Ticket, Shard}, Replicas, Run.line());
  payFor(Run, Shard, Retry);
  send(Ticket, Run, Shard, *Chosen,
       Retry ? attempt_kind::Retry : attempt_kind::First);
}

void query_engine::awaitBudget(query_ticket Ticket, query_run &Run,
                               std::size_t Shard) {
  // Its caller can come again, which is a first attempt and needs no budget.
  bool InVain =
      Run.way() && !Upstreams.hasRetry(Run.loadBudget(Shard), Run.deadline());
  if (InVain)
    return Run.giveUp(Shard, gap_cause::NoBudget);
  Waiting.addForBudget({Ticket, Shard}, Run.line());
}

void query_engine::payFor(query_run &Run, std::size_t Shard, bool Retry) {
  std::string_view Budget = Run.loadBudget(Shard);
  if (Retry)
    Upstreams.takeRetry(Budget, Clock.now());
  // A request that starts over does work anew, so it earns nothing.
  else if (Run.generation() == 0 && Run.earns(Shard))
    Upstreams.firstAttempt(Budget, Clock.now());
}

void query_engine::send(query_ticket Ticket, query_run &Run, std::size_t Shard,
                        const replica &Target, attempt_kind Kind) {
  attempt_id Attempt = NextAttempt++;
  Poison.started(Attempt, Run.fingerprint(), Target.Address,
                 Run.snapshot().Shards[Shard].Id);
  Upstreams.attemptStarted(Target.Address);
  if (isRemote(Target))
    Reach.recordSent(Target.Address);
  Run.attemptStarted(Shard, Attempt, Target.Address);
  auto Added = Attempts.emplace(
      Attempt, attempt_record{Ticket, Shard, Run.generation(), Target.Address,
                              /*Relayed=*/false, Target.Instance,
                              Run.latencyClass(), Kind, Clock.now()});
  if (Run.rules().MayRepeat && Kind != attempt_kind::Hedge)
    scheduleHedge(Attempt, Added.first->second);
  Commands.push_back(send_attempt{Attempt, Run.requestId(), Target.Address,
                                  Run.indexName(), Run.snapshot().Id,
                                  Run.snapshot().Shards[Shard].Id, Run.body(),
                                  Run.deadline(), Kind, Target.Connections,
                                  Run.forwarded(), Target.Instance});
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
  } while (Waiting.size() < Before && ++Rounds < WaitingRounds);
  // Those whose budget pays for none yet go back into the queue.
  for (waiting_shard Next : Waiting.takeAllForBudget())
    startWaiting(Next);
}

bool query_engine::tellsOfUpstream(const attempt_record &Cancelled,
                                   attempt_failure Failure) {
  bool NoAnswer = Failure == attempt_failure::Unknown ||
                  Failure == attempt_failure::NotSent;
  // One that was stopped ends by this VM's own doing; one that was left to run
  // had all the time that its caller had.
  return Failure == attempt_failure::Draining ||
         (NoAnswer && !Cancelled.Stopped);
}

void query_engine::noteEnd(const attempt_record &Record,
                           const attempt_failure *Failure) {
  time_point Now = Clock.now();
  // The age of a cancelled attempt was noted when it was cancelled.
  if (Record.Cancelled && !(Failure && tellsOfUpstream(Record, *Failure)))
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
  // The origin pinned the snapshot, so only the origin may start over.
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
