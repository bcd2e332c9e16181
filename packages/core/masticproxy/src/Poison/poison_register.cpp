#include "masticproxy/src/Poison/poison_register.h"

#include <algorithm>

using namespace masticproxy;

namespace {

constexpr unsigned RoundsToCondemn = 2;

/// Queries kept; the one whose last death is the longest ago gives way.
constexpr std::size_t MaxRecords = 4096;

} // namespace

poison_state poison_register::judge(query_fingerprint Fingerprint) const {
  auto Found = Records.find(Fingerprint);
  if (Found == Records.end())
    return poison_state::Clear;
  duration Age = Clock.now() - Found->second.LastDeath;
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
  // Attempts that ran side by side may all have met with the same coincidence;
  // only one that began after the last death was known tells more.
  bool NewRound = Record.Rounds == 0 || Started > Record.LastDeath;
  if (!NewRound)
    return std::nullopt;
  ++Record.Rounds;
  Record.Shard = Shard;
  Record.LastDeath = Now;
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
  Record.LastDeath = std::max(Record.LastDeath, Death);
  Record.Shard = Notice.Shard;
}

poison_register::record &
poison_register::recordOf(query_fingerprint Fingerprint) {
  auto Found = Records.find(Fingerprint);
  if (Found != Records.end() && judge(Fingerprint) != poison_state::Clear)
    return Found->second;
  makeRoom();
  Records[Fingerprint] = record{};
  return Records[Fingerprint];
}

void poison_register::makeRoom() {
  std::erase_if(Records, [this](const record_map::value_type &Entry) {
    return Clock.now() - Entry.second.LastDeath >= Timing.SuspectFor;
  });
  if (Records.size() < MaxRecords)
    return;
  auto Oldest = std::min_element(
      Records.begin(), Records.end(), [](const auto &A, const auto &B) {
        return A.second.LastDeath < B.second.LastDeath;
      });
  Records.erase(Oldest);
}
