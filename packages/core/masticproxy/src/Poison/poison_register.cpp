#include "masticproxy/src/Poison/poison_register.h"

#include <algorithm>
#include <utility>

using namespace masticproxy;

namespace {

/// Maximum number of recorded queries; the one with the oldest last death is
/// evicted first.
constexpr std::size_t MaxRecords = 4096;

} // namespace

poison_state poison_register::stateOf(query_fingerprint Fingerprint) const {
  auto Found = Records.find(Fingerprint);
  if (Found == Records.end() || isForgotten(Found->second))
    return poison_state::Clear;
  const record &Record = Found->second;
  duration Age = Clock.now() - Record.Deaths.LastDeath;
  if (Age < Timing.condemnedFor(Record.Deaths.rounds()))
    return poison_state::Condemned;
  return Record.Doubtful ? poison_state::Clear : poison_state::Suspect;
}

bool poison_register::isForgotten(const record &Record) const {
  duration Age = Clock.now() - Record.Deaths.LastDeath;
  unsigned Rounds = Record.Deaths.rounds();
  bool Condemns = Rounds >= poison_timing::RoundsToCondemn;
  if (Record.Doubtful && !Condemns)
    return Age >= Timing.LostFor;
  return Age >= Timing.forgottenAfter(Rounds);
}

std::string_view poison_register::shardOf(query_fingerprint Fingerprint) const {
  auto Found = Records.find(Fingerprint);
  return Found == Records.end() ? std::string_view() : Found->second.Shard;
}

std::optional<poison_notice>
poison_register::upstreamDied(const upstream_attempt &Attempt,
                              death_evidence Evidence) {
  record &Record = recordOf(Attempt.Fingerprint);
  death_tally &Deaths = Record.Deaths;
  bool First = Deaths.HalfRounds == 0;
  // Attempts of one query that ran concurrently may all have failed by one
  // cause other than the query.
  bool Concurrent = !First && Attempt.Started <= Deaths.LastDeath &&
                    Attempt.Ended >= Deaths.FirstStarted;
  if (Concurrent || Deaths.hasSeen(Attempt))
    return std::nullopt;
  bool WasDoubtful = std::exchange(Record.Doubtful,
                                   (First || Record.Doubtful) &&
                                       Evidence == death_evidence::CommonCause);
  bool Half = !First && (WasDoubtful || Evidence != death_evidence::Query);
  Deaths.HalfRounds += Half ? death_tally::HalfRound : death_tally::WholeRound;
  Record.Unchecked =
      Half && !WasDoubtful && Evidence == death_evidence::Unchecked;
  Deaths.FirstStarted =
      First ? Attempt.Started : std::min(Deaths.FirstStarted, Attempt.Started);
  Deaths.LastDeath =
      First ? Attempt.Ended : std::max(Deaths.LastDeath, Attempt.Ended);
  Deaths.addProcess(Attempt.Process);
  Record.Shard = Attempt.Shard;
  if (stateOf(Attempt.Fingerprint) == poison_state::Clear)
    return std::nullopt;
  return Deaths.toNotice(Attempt.Fingerprint, Record.Shard, Clock.now());
}

std::vector<poison_notice> poison_register::confirmDeaths() {
  std::vector<poison_notice> Notices;
  for (auto &[Fingerprint, Record] : Records) {
    if (!std::exchange(Record.Unchecked, false))
      continue;
    Record.Deaths.HalfRounds += death_tally::HalfRound;
    Notices.push_back(
        Record.Deaths.toNotice(Fingerprint, Record.Shard, Clock.now()));
  }
  return Notices;
}

std::vector<suspicion_ended>
poison_register::deathsHadCommonCause(time_point Time) {
  std::vector<suspicion_ended> Ended;
  for (auto &[Fingerprint, Record] : Records) {
    Record.Unchecked = false;
    bool Recent = Record.Since >= Time;
    if (!Recent || stateOf(Fingerprint) != poison_state::Suspect)
      continue;
    Record.Doubtful = true;
    Ended.push_back({Fingerprint});
  }
  return Ended;
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
  if (Notice.Age >= Timing.forgottenAfter(Notice.Rounds))
    return false;
  if (Found == Records.end() || isForgotten(Found->second))
    return Notice.halfRounds() > 0;
  death_tally Merged = Found->second.Deaths;
  Merged.merge(death_tally::of(Notice, Clock.now()));
  return Merged.HalfRounds > Found->second.Deaths.HalfRounds;
}

void poison_register::onNotice(const poison_notice &Notice) {
  if (Notice.Rounds == 0 || Notice.Age >= Timing.forgottenAfter(Notice.Rounds))
    return;
  record &Record = recordOf(Notice.Fingerprint);
  Record.Deaths.merge(death_tally::of(Notice, Clock.now()));
  Record.Shard = Notice.Shard;
  Record.Doubtful = false;
}

poison_register::record &
poison_register::recordOf(query_fingerprint Fingerprint) {
  auto Found = Records.find(Fingerprint);
  if (Found != Records.end() && !isForgotten(Found->second))
    return Found->second;
  evictRecords();
  record &Record = Records[Fingerprint] = record{};
  Record.Since = Clock.now();
  return Record;
}

void poison_register::evictRecords() {
  std::erase_if(Records, [this](const record_map::value_type &Entry) {
    return isForgotten(Entry.second);
  });
  if (Records.size() < MaxRecords)
    return;
  auto Oldest = std::min_element(
      Records.begin(), Records.end(), [](const auto &A, const auto &B) {
        return A.second.Deaths.LastDeath < B.second.Deaths.LastDeath;
      });
  Records.erase(Oldest);
}
