// The part of the query engine that deals with second attempts at a shard
// beside an open one.

#include "masticproxy/src/Query/query_engine.h"

using namespace masticproxy;

namespace {

/// While no latencies are known, as after a start, an attempt is hedged after
/// the target latency divided by this, so that the hedge can still be in time.
constexpr int FirstHedgeDivisor = 3;

/// How often a request whose shards are late together is looked at again.
constexpr std::chrono::milliseconds TogetherPoll{5};

} // namespace

std::optional<duration>
query_engine::firstHedgeDelay(const attempt_record &Record) {
  const query_run *Run = findRun(Record);
  bool HasTarget = Run && Run->forwardRoute() &&
                   Run->pinnedProfile().TargetLatency.count() > 0;
  if (!HasTarget)
    return std::nullopt;
  return duration(Run->pinnedProfile().TargetLatency) / FirstHedgeDivisor;
}

void query_engine::scheduleHedge(attempt_id Attempt,
                                 const attempt_record &Record) {
  std::optional<duration> Delay = Upstreams.hedgeDelay(Record.Index);
  if (!Delay)
    Delay = firstHedgeDelay(Record);
  if (Delay)
    Hedges.add(Clock.now() + *Delay, Attempt);
}

void query_engine::hedgeDue() {
  while (std::optional<attempt_id> Due = Hedges.takeDue(Clock.now())) {
    auto Found = Attempts.find(*Due);
    if (Found != Attempts.end() && !Found->second.Cancelled)
      hedge(*Due, attempt_record(Found->second));
  }
}

void query_engine::hedge(attempt_id Attempt, const attempt_record &Record) {
  query_run *Run = findRun(Record);
  if (!Run || !Run->mayHedge(Record.Shard))
    return;
  // Shards that are late together have a common cause, as a VM that is short of
  // processor time; hedges of them all would leave none for a straggler.
  if (!Run->mostOthersAnswered())
    return Hedges.add(Clock.now() + TogetherPoll, Attempt);
  const replica *Chosen = Upstreams.chooseHedge(
      replicasOf(*Run, Record.Shard), Run->tried(Record.Shard), Clock.now());
  bool Allowed = Chosen && Poison.mayStart(Run->fingerprint(), Chosen->Address);
  std::string_view Budget = Run->loadBudget(Record.Shard);
  if (Allowed && Upstreams.takeHedge(Budget, Clock.now()))
    return send(Record.Ticket, *Run, Record.Shard, *Chosen,
                attempt_kind::Hedge);
  // No replica or no budget at this instant: look again later.
  scheduleHedge(Attempt, Record);
}
