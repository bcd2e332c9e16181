#include "masticproxy/src/Routing/waiting_list.h"

#include "masticproxy/src/Query/index_map.h"

using namespace masticproxy;

namespace {

/// Entries of a queue below which it is never cleaned as a whole.
constexpr std::size_t LeastCleaned = 64;

/// Spreads tickets, which count upwards, apart from shard numbers.
constexpr std::size_t TicketFactor = 0x9E3779B97F4A7C15U;

} // namespace

std::size_t waiting_list::shard_hash::operator()(const waiting_shard &S) const {
  return S.Ticket * TicketFactor + S.Shard;
}

void waiting_list::add(waiting_shard Shard, std::span<const replica> Replicas,
                       const waiting_line &Line) {
  if (Replicas.empty())
    return;
  std::uint64_t Number = renew(Shard);
  for (const replica &Replica : Replicas)
    push(ByUpstream[Replica.Address], {Shard, Number}, Line);
}

void waiting_list::addForBudget(waiting_shard Shard, const waiting_line &Line) {
  push(Budget, {Shard, renew(Shard)}, Line);
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

std::uint64_t waiting_list::renew(waiting_shard Shard) {
  return Live[Shard] = NextNumber++;
}

void waiting_list::push(queue &Queue, const entry &Entry,
                        const waiting_line &Line) {
  Queue.push(Line.Profile, Entry, Line.Priority);
  // Entries taken through another queue are dropped when they come first. A
  // queue that is never served would keep them, so it is cleaned when they
  // are the larger part.
  bool Grown = Queue.size() > LeastCleaned && Queue.size() > 2 * Live.size();
  if (Grown)
    Queue.prune([this](const entry &E) { return isLive(E); });
}

bool waiting_list::isLive(const entry &Entry) const {
  auto Found = Live.find(Entry.Shard);
  return Found != Live.end() && Found->second == Entry.Number;
}

std::optional<waiting_shard> waiting_list::takeFirst(queue &Queue) {
  auto First = Queue.pop([this](const entry &E) { return isLive(E); });
  if (!First)
    return std::nullopt;
  Live.erase(First->Shard);
  return First->Shard;
}
