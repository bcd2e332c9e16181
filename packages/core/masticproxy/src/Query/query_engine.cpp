#include "masticproxy/src/Query/query_engine.h"

#include "masticproxy/src/Query/query_catalogue.h"

using namespace masticproxy;

namespace {

/// How long an upstream that refused gets no new work.
constexpr std::chrono::milliseconds RefusalPause{20};

/// How long an upstream that is leaving gets no new work.
constexpr std::chrono::seconds DrainPause{10};

/// How long an upstream whose connection failed gets no new work.
constexpr std::chrono::milliseconds ConnectPause{250};

/// How often shards that wait for a place look for one again.
constexpr std::chrono::milliseconds WaitingPoll{5};

} // namespace

query_engine::query_engine(const clock &Clock, engine_limits Limits)
    : Clock(Clock), Limits(std::move(Limits)),
      Catalogue(std::make_shared<const query_catalogue>()),
      Poison(Clock, this->Limits.ProbeFirst) {
  Upstreams.setDataCentre(this->Limits.DataCentre);
  Upstreams.setSharers(this->Limits.Sharers);
}

query_engine::~query_engine() = default;

std::vector<engine_command> query_engine::handle(engine_event Event) {
  std::visit([this](auto E) { on(std::move(E)); }, std::move(Event));
  return std::exchange(Commands, {});
}

std::optional<time_point> query_engine::nextWakeup() const {
  if (Deadlines.empty())
    return std::nullopt;
  time_point Next = Deadlines.begin()->first;
  if (!Waiting.empty())
    Next = std::min(Next, Clock.now() + WaitingPoll);
  return Next;
}

void query_engine::on(query_arrived Event) {
  const profile *Profile = Catalogue->findProfile(Event.Profile);
  if (!Profile)
    return refuse(Event, unknown_profile{});
  const index_map *Index = Catalogue->findIndex(Event.Index);
  if (!Index)
    return refuse(Event, unknown_index{});
  if (Poison.condemned(fingerprintOf(Event.Index, Event.Body)))
    return refuse(Event, condemned{});
  if (!Profile->MayRepeat)
    if (std::optional<query_outcome> Refusal = refusalOfId(Event.RequestId))
      return refuse(Event, std::move(*Refusal));
  if (Leaving)
    return refuse(Event, not_run{"this VM is leaving"});
  if (Runs.size() >= Limits.Queries)
    return refuse(Event, not_run{"too many requests under way"});

  query_ticket Ticket = Event.Ticket;
  time_point Deadline = Clock.now() + Profile->Wait;
  query_run NewRun(std::move(Event), *Profile, Index->Current, Deadline);
  auto [Position, Added] = Runs.emplace(Ticket, std::move(NewRun));
  if (!Added)
    return;
  Deadlines.emplace(Deadline, Ticket);
  if (!Profile->MayRepeat)
    return awaitClaim(Ticket, Position->second);
  startShards(Ticket, Position->second);
  finishIfOver(Ticket);
}

void query_engine::on(attempt_answered Event) {
  std::optional<attempt_record> Record = endAttempt(Event.Attempt);
  if (!Record)
    return;
  Poison.answered(Event.Attempt);
  if (query_run *Run = findRun(*Record)) {
    Run->attemptAnswered(Record->Shard, Event.Attempt, std::move(Event.Result));
    startShard(Record->Ticket, *Run, Record->Shard);
    finishIfOver(Record->Ticket);
  }
  startWaiting();
}

void query_engine::on(attempt_failed Event) {
  std::optional<attempt_record> Record = endAttempt(Event.Attempt);
  if (!Record)
    return;
  noteEnd(Event);
  time_point Now = Clock.now();
  if (Event.Failure == attempt_failure::Refused)
    Upstreams.avoid(Record->Upstream, Now + RefusalPause);
  if (Event.Failure == attempt_failure::Draining)
    Upstreams.avoid(Record->Upstream, Now + DrainPause);
  if (Event.Failure == attempt_failure::NotSent ||
      Event.Failure == attempt_failure::Unknown)
    Upstreams.avoid(Record->Upstream, Now + ConnectPause);

  if (query_run *Run = findRun(*Record)) {
    Run->attemptFailed(Record->Shard, Event.Attempt, Event.Failure);
    if (Event.Failure == attempt_failure::SnapshotGone)
      Run->snapshotGone();
    // A suspect takes the shards that wait first.
    if (Event.UpstreamDied)
      Waiting.emplace_back(Record->Ticket, Record->Shard);
    else if (!restartIfDue(Record->Ticket, *Run))
      startShard(Record->Ticket, *Run, Record->Shard);
    finishIfOver(Record->Ticket);
  }
  startWaiting();
}

void query_engine::on(catalogue_changed Event) {
  Catalogue = std::move(Event.Catalogue);
  for (auto &[Ticket, Run] : Runs)
    restartIfDue(Ticket, Run);
}

void query_engine::on(timer_fired) {
  time_point Now = Clock.now();
  while (!Deadlines.empty() && Deadlines.begin()->first <= Now)
    finish(Runs.find(Deadlines.begin()->second));
  startWaiting();
}

void query_engine::on(leave_started) { Leaving = true; }

void query_engine::startShards(query_ticket Ticket, query_run &Run) {
  for (std::size_t Shard : shardOrder(Run))
    startShard(Ticket, Run, Shard);
}

void query_engine::startShard(query_ticket Ticket, query_run &Run,
                              std::size_t Shard) {
  if (!Run.wantsAttempt(Shard))
    return;
  const shard &Target = Run.snapshot().Shards[Shard];
  const replica *Chosen =
      Upstreams.choose(Target.Replicas, Run.tried(Shard), Clock.now());
  if (!Chosen) {
    // Every replica was tried or is busy: let it ask each of them once more.
    Run.forgetTried(Shard);
    Waiting.emplace_back(Ticket, Shard);
    return;
  }
  if (!Poison.mayStart(Run.fingerprint(), Chosen->Address)) {
    Waiting.emplace_back(Ticket, Shard);
    return;
  }
  attempt_id Attempt = NextAttempt++;
  Poison.started(Attempt, Run.fingerprint(), Chosen->Address, Target.Id);
  Upstreams.attemptStarted(Chosen->Address);
  Run.attemptStarted(Shard, Attempt, Chosen->Address);
  Attempts.emplace(Attempt, attempt_record{Ticket, Shard, Run.generation(),
                                           Chosen->Address});
  Commands.emplace_back(send_attempt{Attempt, Run.requestId(), Chosen->Address,
                                     Run.indexName(), Run.snapshot().Id,
                                     Target.Id, Run.body(), Run.deadline()});
}

void query_engine::startWaiting() {
  std::size_t Count = Waiting.size();
  for (std::size_t I = 0; I < Count; ++I) {
    auto [Ticket, Shard] = Waiting.front();
    Waiting.pop_front();
    auto Run = Runs.find(Ticket);
    if (Run != Runs.end() && Shard < Run->second.snapshot().Shards.size())
      startShard(Ticket, Run->second, Shard);
  }
}

std::optional<query_engine::attempt_record>
query_engine::endAttempt(attempt_id Attempt) {
  auto Found = Attempts.find(Attempt);
  if (Found == Attempts.end())
    return std::nullopt;
  attempt_record Record = std::move(Found->second);
  Attempts.erase(Found);
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
  const index_map *Index = Catalogue->findIndex(Run.indexName());
  bool Newer = Index && Index->Current->Id != Run.snapshot().Id;
  if (!Newer || !Run.awaitsSnapshot())
    return false;
  cancelOpen(Run);
  Run.restartOn(Index->Current);
  startShards(Ticket, Run);
  return true;
}

void query_engine::finishIfOver(query_ticket Ticket) {
  auto Run = Runs.find(Ticket);
  if (Run == Runs.end())
    return;
  if (Run->second.complete() || Run->second.hopeless())
    finish(Run);
}

void query_engine::finish(run_map::iterator Run) {
  finishWith(Run, Run->second.finish());
}

void query_engine::finishWith(run_map::iterator Run, query_outcome Outcome) {
  Deadlines.erase({Run->second.deadline(), Run->first});
  releaseClaim(Run->second, Outcome);
  Commands.emplace_back(
      deliver_outcome{Run->first, Run->second.requestId(), std::move(Outcome)});
  cancelOpen(Run->second);
  Runs.erase(Run);
}

void query_engine::cancelOpen(query_run &Run) {
  for (std::size_t I = 0; I < Run.snapshot().Shards.size(); ++I)
    for (attempt_id Attempt : Run.openAttempts(I))
      Commands.emplace_back(cancel_attempt{Attempt});
}

void query_engine::refuse(const query_arrived &Request, query_outcome Outcome) {
  Commands.emplace_back(
      deliver_outcome{Request.Ticket, Request.RequestId, std::move(Outcome)});
}
