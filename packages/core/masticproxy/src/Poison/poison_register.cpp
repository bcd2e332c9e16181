#include "masticproxy/src/Poison/poison_register.h"

#include <algorithm>

using namespace masticproxy;

namespace {

/// Rounds of deaths after which a query is condemned.
constexpr unsigned RoundsToCondemn = 2;

/// Maximum number of recorded queries; the one with the oldest last death is
/// evicted first.
constexpr std::size_t MaxRecords = 4096;

} // namespace

poison_state poison_register::stateOf(query_fingerprint Fingerprint) const {
  auto Found = Records.find(Fingerprint);
  if (Found == Records.end())
    return poison_state::Clear;
  duration Age = Clock.now() - Found->second.LastUpstreamDeath;
  if (Age >= Timing.SuspectFor)
    return poison_state::Clear;
  bool Condemned =
      Found->second.Rounds >= RoundsToCondemn && Age < Timing.CondemnFor;
  return Condemned ? poison_state::Condemned : poison_state::Suspect;
}

std::string_view poison_register::shardOf(query_fingerprint Fingerprint) const {
  auto Found = Records.find(Fingerprint);
  return Found == Records.end() ? std::string_view() : Found->second.Shard;
}

std::optional<poison_notice>
poison_register::upstreamDied(query_fingerprint Fingerprint,
                              std::string_view Shard, time_point Started) {
  time_point Now = Clock.now();
  record &Record = recordOf(Fingerprint);
  // Attempts of one query that ran concurrently may all have failed by one
  // cause other than the query. A death counts as a new round only if the
  // attempt started after the last death was known.
  bool NewRound = Record.Rounds == 0 || Started > Record.LastUpstreamDeath;
  if (!NewRound)
    return std::nullopt;
  ++Record.Rounds;
  Record.Shard = Shard;
  Record.LastUpstreamDeath = Now;
  return poison_notice{Fingerprint, Record.Rounds, Record.Shard};
}

void poison_register::shardAnswered(query_fingerprint Fingerprint,
                                    std::string_view Shard) {
  auto Found = Records.find(Fingerprint);
  if (Found != Records.end() && Found->second.Shard == Shard)
    Records.erase(Found);
}

void poison_register::onNotice(const poison_notice &Notice) {
  if (Notice.Rounds == 0 || Notice.Age >= Timing.SuspectFor)
    return;
  record &Record = recordOf(Notice.Fingerprint);
  time_point Death = Clock.now() - Notice.Age;
  Record.Rounds = std::max(Record.Rounds, Notice.Rounds);
  Record.LastUpstreamDeath = std::max(Record.LastUpstreamDeath, Death);
  Record.Shard = Notice.Shard;
}

poison_register::record &
poison_register::recordOf(query_fingerprint Fingerprint) {
  auto Found = Records.find(Fingerprint);
  if (Found != Records.end() && stateOf(Fingerprint) != poison_state::Clear)
    return Found->second;
  evictRecords();
  Records[Fingerprint] = record{};
  return Records[Fingerprint];
}

void poison_register::evictRecords() {
  std::erase_if(Records, [this](const record_map::value_type &Entry) {
    return Clock.now() - Entry.second.LastUpstreamDeath >= Timing.SuspectFor;
  });
  if (Records.size() < MaxRecords)
    return;
  auto Oldest = std::min_element(
      Records.begin(), Records.end(), [](const auto &A, const auto &B) {
        return A.second.LastUpstreamDeath < B.second.LastUpstreamDeath;
      });
  Records.erase(Oldest);
}
