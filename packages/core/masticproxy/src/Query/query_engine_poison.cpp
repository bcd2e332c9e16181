#include "masticproxy/src/Query/query_catalogue.h"
#include "masticproxy/src/Query/query_engine.h"

#include <algorithm>
#include <numeric>

using namespace masticproxy;

namespace {

/// Number of low bits of a fingerprint that affect the first shard but not the
/// step.
constexpr unsigned StepShift = 32;

/// Retry delay for the caller of a request that is held back: within it most
/// lost attempts are explained.
constexpr std::chrono::milliseconds HeldBackRetryAfter{2000};

} // namespace

void query_engine::on(const poison_notice &Event) {
  Poison.onNotice(Event);
  finishCondemned(Event.Fingerprint);
}

void query_engine::recordUpstreamDeath(const attempt_record &Record,
                                       const attempt_failed &Event) {
  Poison.setEvidence(CauseCheck.evidence());
  bool Died = Event.UpstreamDied || Event.ConnectionRefused;
  // An upstream that left ended as planned, whatever it ran last.
  if (Died && !Catalogue->mayRun(Poison.processOf(Event.Attempt)))
    return Poison.ended(Event.Attempt);
  if (Event.UpstreamDied) {
    if (auto Notice = Poison.upstreamDied(Event.Attempt))
      reportDeaths(Record, {std::move(*Notice)});
    return;
  }
  if (Event.ConnectionRefused)
    return reportDeaths(Record, Poison.refusedConnection(Event.Attempt));
  switch (Event.Failure) {
  case attempt_failure::NotSent:
  // Of another process, which says nothing of the one before.
  case attempt_failure::Misdirected:
    return Poison.ended(Event.Attempt);
  case attempt_failure::Unknown:
    // It took a connection, only to reset it, after the attempt had ended.
    if (Event.AtLimit)
      return Poison.ended(Event.Attempt);
    if (auto Held = Poison.lost(Event.Attempt))
      finishCondemned(*Held);
    return;
  case attempt_failure::Refused:
  case attempt_failure::Draining:
  case attempt_failure::SnapshotGone:
  case attempt_failure::Failed:
    return Poison.refused(Event.Attempt);
  }
}

void query_engine::reportDeaths(const attempt_record &Record,
                                std::vector<poison_notice> Notices) {
  if (Notices.empty())
    return;
  report(std::move(Notices));
  // Upstreams that the query ran on may have died of it as well.
  const query_run *Run = findRun(Record);
  auto RanThere = [Run](std::string_view Upstream) {
    return Run && Run->wasTriedAt(Upstream);
  };
  for (std::string &Upstream : CauseCheck.start(Catalogue->neighbours(
           Record.Upstream, common_cause_check::Probes, RanThere)))
    Commands.emplace_back(probe_upstream{std::move(Upstream)});
  if (!CauseCheck.isUnderWay())
    report(Poison.confirmDeaths());
}

void query_engine::checkCommonCause(const upstream_probed &Event) {
  auto Result = CauseCheck.onProbed(Event.Upstream, Event.Reached);
  if (!Result)
    return;
  if (!Result->Found)
    return report(Poison.confirmDeaths());
  for (const suspicion_ended &Ended :
       Poison.deathsHadCommonCause(Result->Since))
    Commands.emplace_back(Ended);
}

void query_engine::recordAnswer(const attempt_answered &Event,
                                const attempt_record &Record) {
  // A response that is not the upstream's own may come from something in
  // between, so it does not show that the upstream ran the query.
  if (Record.Signed && Event.Result.Signature.empty())
    return Poison.ended(Event.Attempt);
  if (auto Ended = Poison.answered(Event.Attempt))
    Commands.emplace_back(*Ended);
}

void query_engine::recordRestartedUpstreams() {
  if (!Poison.hasLost())
    return;
  Poison.upstreamsLeft([this](const upstream_attempt &Attempt) {
    return Catalogue->isLeaving(Attempt.Process);
  });
  Poison.setEvidence(death_evidence::Query);
  // An upstream that only left the list can have been cut off, or be replaced
  // as planned; one that serves the same shard again at its address ended.
  report(Poison.upstreamsDied([this](const upstream_attempt &Attempt) {
    std::string_view Now = Catalogue->processAt(Attempt.Shard, Attempt.Address);
    return !Now.empty() && Now != Attempt.Process;
  }));
}

void query_engine::report(std::vector<poison_notice> Notices) {
  for (poison_notice &Notice : Notices) {
    query_fingerprint Fingerprint = Notice.Fingerprint;
    Commands.emplace_back(std::move(Notice));
    finishCondemned(Fingerprint);
  }
}

void query_engine::finishCondemned(query_fingerprint Fingerprint) {
  if (!Poison.condemned(Fingerprint))
    return;
  for (auto Next = Runs.begin(); Next != Runs.end();) {
    auto Run = Next++;
    if (Run->second.fingerprint() == Fingerprint)
      finishWith(Run, poisonOutcome(Fingerprint, !Run->second.nothingRan()));
  }
}

query_outcome query_engine::poisonOutcome(query_fingerprint Fingerprint,
                                          bool MayHaveRun) const {
  // A suspect that is held back can be innocent: its caller may ask again.
  if (!Poison.isHeldBack(Fingerprint))
    return condemned{MayHaveRun};
  if (MayHaveRun)
    return outcome_unknown{"an upstream may have crashed while it ran it"};
  return not_run{"an upstream may have crashed while it ran the same request",
                 HeldBackRetryAfter};
}

std::vector<std::size_t> query_engine::shardOrder(const query_run &Run) const {
  std::size_t Count = Run.snapshot().Shards.size();
  std::vector<std::size_t> Order;
  if (Count == 0)
    return Order;
  // If two suspects were in flight when an upstream died, the same order of
  // shards would bring them to one upstream again. Start and step therefore
  // depend on the fingerprint; a step coprime to the count visits every shard.
  std::size_t Next = Run.fingerprint() % Count;
  std::size_t Step = 1 + (Run.fingerprint() >> StepShift) % Count;
  while (std::gcd(Step, Count) != 1)
    ++Step;
  for (std::size_t I = 0; I < Count; ++I, Next = (Next + Step) % Count)
    Order.push_back(Next);
  // Only an answer from the shard whose upstream died ends a suspicion, so that
  // shard is second.
  std::string_view ShardOfDeath = Poison.shardOfDeath(Run.fingerprint());
  auto IsShardOfDeath = [&](std::size_t I) {
    return Run.snapshot().Shards[I].Id == ShardOfDeath;
  };
  auto Found = std::find_if(Order.begin() + 1, Order.end(), IsShardOfDeath);
  if (Found != Order.end())
    std::rotate(Order.begin() + 1, Found, Found + 1);
  return Order;
}
