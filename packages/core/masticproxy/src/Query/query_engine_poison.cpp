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
  if (!Event.UpstreamDied)
    return Poison.ended(Event.Attempt);
  std::optional<poison_notice> Notice = Poison.upstreamDied(Event.Attempt);
  if (!Notice)
    return;
  Commands.emplace_back(*Notice);
  finishCondemned(Notice->Fingerprint);
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
