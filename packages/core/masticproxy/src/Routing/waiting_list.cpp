#include "masticproxy/src/Routing/waiting_list.h"

#include "masticproxy/src/Query/index_map.h"

using namespace masticproxy;

namespace {

/// Number of entries up to which a queue is never cleaned as a whole.
constexpr std::size_t MinCleanedSize = 64;

/// Hash multiplier that keeps tickets, which count upwards, apart from shard
/// numbers.
constexpr std::size_t TicketFactor = 0x9E3779B97F4A7C15U;

} // namespace

std::size_t waiting_list::shard_hash::operator()(const waiting_shard &S) const {
  return S.Ticket * TicketFactor + S.Shard;
}

void waiting_list::add(waiting_shard Shard, std::span<const replica> Replicas,
                       const waiting_class &Class) {
  if (Replicas.empty())
    return;
  std::uint64_t Number = assignNumber(Shard);
  for (const replica &Replica : Replicas)
    push(ByUpstream[Replica.Address], {Shard, Number}, Class);
}

void waiting_list::addForBudget(waiting_shard Shard,
                                const waiting_class &Class) {
  push(Budget, {Shard, assignNumber(Shard)}, Class);
}

std::optional<waiting_shard> waiting_list::takeFor(std::string_view Upstream) {
  auto Found = ByUpstream.find(Upstream);
  if (Found == ByUpstream.end())
    return std::nullopt;
  std::optional<waiting_shard> First = takeFirst(Found->second);
  if (Found->second.empty())
    ByUpstream.erase(Found);
  return First;
}

std::vector<waiting_shard> waiting_list::takeHeads() {
  std::vector<waiting_shard> Heads;
  for (auto I = ByUpstream.begin(); I != ByUpstream.end();) {
    if (auto First = takeFirst(I->second))
      Heads.push_back(*First);
    I = I->second.empty() ? ByUpstream.erase(I) : std::next(I);
  }
  return Heads;
}

std::vector<waiting_shard> waiting_list::takeAllForBudget() {
  std::vector<waiting_shard> All;
  while (std::optional<waiting_shard> Next = takeForBudget())
    All.push_back(*Next);
  return All;
}

std::uint64_t waiting_list::assignNumber(waiting_shard Shard) {
  return Waiting[Shard] = NextNumber++;
}

void waiting_list::push(queue &Queue, const entry &Entry,
                        const waiting_class &Class) {
  Queue.push({Class.Team, Class.Profile}, Entry, Class.Priority);
  // Entries of shards that were taken through another queue are dropped when
  // they reach the front. A queue that is never served would keep them, so it
  // is cleaned when more than half of its entries are stale.
  bool MostlyStale =
      Queue.size() > MinCleanedSize && Queue.size() > 2 * Waiting.size();
  if (MostlyStale)
    Queue.prune([this](const entry &E) { return isWaiting(E); });
}

bool waiting_list::isWaiting(const entry &Entry) const {
  auto Found = Waiting.find(Entry.Shard);
  return Found != Waiting.end() && Found->second == Entry.Number;
}

std::optional<waiting_shard> waiting_list::takeFirst(queue &Queue) {
  auto First = Queue.pop([this](const entry &E) { return isWaiting(E); });
  if (!First)
    return std::nullopt;
  Waiting.erase(First->Shard);
  return First->Shard;
}
