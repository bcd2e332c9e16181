#include "masticproxy/src/Query/query_catalogue.h"
#include "masticproxy/src/Query/query_engine.h"

#include <algorithm>
#include <numeric>

using namespace masticproxy;

namespace {

/// Number of low bits of a fingerprint that affect the first shard but not the
/// step.
constexpr unsigned StepShift = 32;

} // namespace

void query_engine::on(const poison_notice &Event) {
  Poison.onNotice(Event);
  finishCondemned(Event.Fingerprint);
}

void query_engine::recordUpstreamDeath(const attempt_failed &Event) {
  if (Event.UpstreamDied) {
    if (auto Notice = Poison.upstreamDied(Event.Attempt))
      report({std::move(*Notice)});
    return;
  }
  if (Event.ConnectionRefused)
    return report(Poison.refusedConnection(Event.Attempt));
  switch (Event.Failure) {
  case attempt_failure::NotSent:
  // Of another process, which says nothing of the one before.
  case attempt_failure::Misdirected:
    return Poison.ended(Event.Attempt);
  case attempt_failure::Unknown:
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

void query_engine::recordAnswer(const attempt_answered &Event,
                                const attempt_record &Record) {
  // A response that is not the upstream's own may come from something in
  // between, so it does not show that the upstream ran the query.
  if (Record.Signed && Event.Result.Signature.empty())
    return Poison.ended(Event.Attempt);
  if (auto Ended = Poison.answered(Event.Attempt))
    Commands.emplace_back(*Ended);
}

void query_engine::recordGoneUpstreams() {
  if (!Poison.hasLost())
    return;
  std::optional<std::set<std::string_view>> Known = Catalogue->processes();
  if (!Known)
    return;
  auto IsGone = [&Known](std::string_view Process) {
    return !Known->contains(Process);
  };
  std::vector<poison_notice> Notices = Poison.upstreamsGone(IsGone);
  for (poison_notice &Notice : Notices)
    Notice.Presumed = true;
  report(std::move(Notices));
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
      finishWith(Run, condemned{!Run->second.nothingRan()});
  }
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
