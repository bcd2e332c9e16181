#include "masticproxy/src/Poison/poison_register.h"

#include <algorithm>

using namespace masticproxy;

namespace {

/// Half rounds of a death, and of one that may have another cause.
constexpr unsigned WholeRound = 2;
constexpr unsigned HalfRound = 1;

/// Maximum number of recorded queries; the one with the oldest last death is
/// evicted first.
constexpr std::size_t MaxRecords = 4096;

} // namespace

poison_state poison_register::stateOf(query_fingerprint Fingerprint) const {
  auto Found = Records.find(Fingerprint);
  if (Found == Records.end())
    return poison_state::Clear;
  duration Age = Clock.now() - Found->second.LastUpstreamDeath;
  unsigned Rounds = Found->second.rounds();
  if (Age >= Timing.forgottenAfter(Rounds))
    return poison_state::Clear;
  bool Condemned = Age < Timing.condemnedFor(Rounds);
  return Condemned ? poison_state::Condemned : poison_state::Suspect;
}

std::string_view poison_register::shardOf(query_fingerprint Fingerprint) const {
  auto Found = Records.find(Fingerprint);
  return Found == Records.end() ? std::string_view() : Found->second.Shard;
}

std::optional<poison_notice>
poison_register::upstreamDied(query_fingerprint Fingerprint,
                              std::string_view Shard, time_point Started,
                              bool OtherCause) {
  time_point Now = Clock.now();
  record &Record = recordOf(Fingerprint);
  // Attempts of one query that ran concurrently may all have failed by one
  // cause other than the query. A death counts as a new round only if the
  // attempt started after the last death was known.
  bool First = Record.HalfRounds == 0;
  if (!First && Started <= Record.LastUpstreamDeath)
    return std::nullopt;
  Record.HalfRounds += OtherCause && !First ? HalfRound : WholeRound;
  Record.Shard = Shard;
  Record.LastUpstreamDeath = Now;
  poison_notice Notice{Fingerprint, Record.rounds(), Record.Shard};
  Notice.HalfRound = Record.HalfRounds % WholeRound != 0;
  return Notice;
}

bool poison_register::shardAnswered(query_fingerprint Fingerprint,
                                    std::string_view Shard) {
  auto Found = Records.find(Fingerprint);
  if (Found == Records.end() || Found->second.Shard != Shard)
    return false;
  Records.erase(Found);
  return true;
}

void poison_register::onEnded(const suspicion_ended &Ended) {
  if (stateOf(Ended.Fingerprint) == poison_state::Suspect)
    Records.erase(Ended.Fingerprint);
}

bool poison_register::isNews(const poison_notice &Notice) const {
  auto Found = Records.find(Notice.Fingerprint);
  std::uint64_t Known = Found == Records.end() ? 0 : Found->second.HalfRounds;
  return Notice.halfRounds() > Known &&
         Notice.Age < Timing.forgottenAfter(Notice.Rounds);
}

void poison_register::onNotice(const poison_notice &Notice) {
  if (Notice.Rounds == 0 || Notice.Age >= Timing.forgottenAfter(Notice.Rounds))
    return;
  record &Record = recordOf(Notice.Fingerprint);
  time_point Death = Clock.now() - Notice.Age;
  Record.HalfRounds = std::max(Record.HalfRounds, Notice.halfRounds());
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
    return stateOf(Entry.first) == poison_state::Clear;
  });
  if (Records.size() < MaxRecords)
    return;
  auto Oldest = std::min_element(
      Records.begin(), Records.end(), [](const auto &A, const auto &B) {
        return A.second.LastUpstreamDeath < B.second.LastUpstreamDeath;
      });
  Records.erase(Oldest);
}
