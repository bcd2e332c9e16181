// The part of the query engine that sends hedges: second attempts at a shard
// while the first one is open.

#include "masticproxy/src/Query/query_engine.h"

using namespace masticproxy;

namespace {

/// While no latencies are known, for example after a start, an attempt is
/// hedged after the target latency divided by this, so that the hedge can still
/// be answered in time.
constexpr int FirstHedgeDivisor = 3;

/// How often a hedge is reconsidered while the shards of its request are late
/// together.
constexpr std::chrono::milliseconds CommonDelayPollInterval{5};

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

void query_engine::startDueHedges() {
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
  // Shards that are late together have a common cause, for example a VM that is
  // short of processor time. Hedging all of them would use up the load budget
  // and leave no hedge for a straggler.
  if (!Run->mostOthersAnswered())
    return Hedges.add(Clock.now() + CommonDelayPollInterval, Attempt);
  const replica *Chosen = Upstreams.chooseHedge(
      replicasOf(*Run, Record.Shard), Run->tried(Record.Shard), Clock.now());
  bool Allowed =
      Chosen && Poison.mayStart(Run->fingerprint(), Chosen->process());
  std::string_view Budget = Run->loadBudget(Record.Shard);
  if (Allowed && Upstreams.takeHedge(Budget, Clock.now()))
    return send(Record.Ticket, *Run, Record.Shard, *Chosen,
                attempt_kind::Hedge);
  // No replica or no budget is available now: try again later.
  scheduleHedge(Attempt, Record);
}
