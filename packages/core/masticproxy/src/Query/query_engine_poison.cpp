#include "masticproxy/src/Query/query_engine.h"

#include <algorithm>
#include <numeric>

using namespace masticproxy;

namespace {

/// Bits of a fingerprint that choose the first shard, not the step.
constexpr unsigned StepBits = 32;

} // namespace

void query_engine::on(const poison_notice &Event) {
  Poison.onNotice(Event);
  endCondemned(Event.Fingerprint);
}

void query_engine::noteDeath(const attempt_failed &Event) {
  if (!Event.UpstreamDied)
    return Poison.ended(Event.Attempt);
  std::optional<poison_notice> Notice = Poison.upstreamDied(Event.Attempt);
  if (!Notice)
    return;
  Commands.emplace_back(*Notice);
  endCondemned(Notice->Fingerprint);
}

void query_engine::endCondemned(query_fingerprint Fingerprint) {
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
  // Two suspects in flight at one death would meet again if they took the
  // shards in the same order.
  std::size_t Next = Run.fingerprint() % Count;
  std::size_t Step = 1 + (Run.fingerprint() >> StepBits) % Count;
  while (std::gcd(Step, Count) != 1)
    ++Step;
  for (std::size_t I = 0; I < Count; ++I, Next = (Next + Step) % Count)
    Order.push_back(Next);
  // Only an answer of the shard of the death ends a suspicion.
  std::string_view Death = Poison.shardOfDeath(Run.fingerprint());
  auto IsDeath = [&](std::size_t I) {
    return Run.snapshot().Shards[I].Id == Death;
  };
  auto Found = std::find_if(Order.begin() + 1, Order.end(), IsDeath);
  if (Found != Order.end())
    std::rotate(Order.begin() + 1, Found, Found + 1);
  return Order;
}
