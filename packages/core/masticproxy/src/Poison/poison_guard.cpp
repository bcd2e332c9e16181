#include "masticproxy/src/Poison/poison_guard.h"

#include <utility>

using namespace masticproxy;

namespace {

/// Queries recorded as answered; the oldest record is evicted first.
constexpr std::size_t MaxProven = 65536;

} // namespace

bool poison_guard::condemned(query_fingerprint Fingerprint) const {
  return Register.stateOf(Fingerprint) == poison_state::Condemned ||
         isHeldBack(Fingerprint);
}

bool poison_guard::isHeldBack(query_fingerprint Fingerprint) const {
  // What became of the lost attempt decides whether the query is condemned.
  // Until that is known, each further attempt could crash one more upstream.
  return Register.stateOf(Fingerprint) == poison_state::Suspect &&
         Lost.hasSuspect(Fingerprint);
}

bool poison_guard::mayStart(query_fingerprint Fingerprint,
                            std::string_view Upstream) const {
  if (condemned(Fingerprint))
    return false;
  bool Suspect = Register.stateOf(Fingerprint) == poison_state::Suspect;
  bool Unproven = ProbeFirst && !isProven(Fingerprint);
  if (!Suspect && !Unproven)
    return true;
  if (InFlight.count(Fingerprint) > 0)
    return false;
  // If an upstream died with two suspects in flight, nothing would show which
  // of them caused the death.
  return !Suspect || SuspectsAt.find(Upstream) == SuspectsAt.end();
}

void poison_guard::started(std::uint64_t Attempt, query_fingerprint Fingerprint,
                           std::string_view Process, std::string_view Shard,
                           std::string_view Address) {
  upstream_attempt Record;
  Record.Fingerprint = Fingerprint;
  Record.Process = Process;
  Record.Address = Address;
  Record.Shard = Shard;
  Record.Started = Clock.now();
  Record.Suspect = Register.stateOf(Fingerprint) == poison_state::Suspect;
  ++InFlight[Fingerprint];
  if (Record.Suspect)
    ++SuspectsAt[Record.Process];
  Attempts.emplace(Attempt, std::move(Record));
}

std::string_view poison_guard::processOf(std::uint64_t Attempt) const {
  auto Found = Attempts.find(Attempt);
  return Found == Attempts.end() ? std::string_view() : Found->second.Process;
}

std::optional<suspicion_ended> poison_guard::answered(std::uint64_t Attempt) {
  std::optional<upstream_attempt> Record = removeAttempt(Attempt);
  if (!Record)
    return std::nullopt;
  Lost.removeAt(Record->Process);
  if (ProbeFirst)
    recordProven(Record->Fingerprint);
  if (!Register.shardAnswered(Record->Fingerprint, Record->Shard))
    return std::nullopt;
  return suspicion_ended{Record->Fingerprint};
}

void poison_guard::refused(std::uint64_t Attempt) {
  if (std::optional<upstream_attempt> Record = removeAttempt(Attempt))
    Lost.removeAt(Record->Process);
}

std::optional<poison_notice> poison_guard::upstreamDied(std::uint64_t Attempt) {
  std::optional<upstream_attempt> Record = removeAttempt(Attempt);
  if (!Record || Record->DeathRecorded)
    return std::nullopt;
  return recordDeath(*Record);
}

std::optional<query_fingerprint> poison_guard::lost(std::uint64_t Attempt) {
  std::optional<upstream_attempt> Record = removeAttempt(Attempt);
  if (!Record || Record->DeathRecorded)
    return std::nullopt;
  query_fingerprint Fingerprint = Record->Fingerprint;
  Lost.add(std::move(*Record));
  if (!condemned(Fingerprint))
    return std::nullopt;
  return Fingerprint;
}

std::vector<poison_notice>
poison_guard::refusedConnection(std::uint64_t Attempt) {
  std::optional<upstream_attempt> Unsent = removeAttempt(Attempt);
  if (!Unsent)
    return {};
  std::vector<poison_notice> Notices =
      upstreamsDied([&](const upstream_attempt &Other) {
        return Other.Process == Unsent->Process;
      });
  // Their connections may stay open and silent until their deadline. Those that
  // started later may be about to be refused as well.
  for (auto &[Id, Record] : Attempts) {
    bool Ran =
        Record.Process == Unsent->Process && Record.Started < Unsent->Started;
    if (!Ran || Record.DeathRecorded)
      continue;
    Record.DeathRecorded = true;
    Record.Ended = Clock.now();
    if (std::optional<poison_notice> Notice = recordDeath(Record))
      Notices.push_back(std::move(*Notice));
  }
  return Notices;
}

std::vector<poison_notice> poison_guard::upstreamsDied(
    const std::function<bool(const upstream_attempt &)> &Died) {
  std::vector<poison_notice> Notices;
  for (const upstream_attempt &Attempt : Lost.takeIf(Died))
    if (std::optional<poison_notice> Notice = recordDeath(Attempt))
      Notices.push_back(std::move(*Notice));
  return Notices;
}

void poison_guard::upstreamsLeft(
    const std::function<bool(const upstream_attempt &)> &Left) {
  Lost.takeIf(Left);
}

std::optional<poison_notice>
poison_guard::recordDeath(const upstream_attempt &Attempt) {
  Deaths.add(Attempt.Fingerprint, Attempt.Process);
  // A suspect in flight at the same upstream is the likelier cause, so the
  // death is not counted against this query.
  bool SuspectInFlight =
      !Attempt.Suspect && SuspectsAt.count(Attempt.Process) > 0;
  if (SuspectInFlight || Evidence == death_evidence::Excused)
    return std::nullopt;
  return Register.upstreamDied(Attempt, evidenceAgainst(Attempt.Fingerprint));
}

death_evidence
poison_guard::evidenceAgainst(query_fingerprint Fingerprint) const {
  return Deaths.haveOtherCause(Fingerprint) ? death_evidence::CommonCause
                                            : Evidence;
}

bool poison_guard::isProven(query_fingerprint Fingerprint) const {
  return Proven.count(Fingerprint) > 0;
}

void poison_guard::recordProven(query_fingerprint Fingerprint) {
  if (!Proven.insert(Fingerprint).second)
    return;
  ProvenOrder.push_back(Fingerprint);
  if (ProvenOrder.size() <= MaxProven)
    return;
  Proven.erase(ProvenOrder.front());
  ProvenOrder.pop_front();
}

std::optional<upstream_attempt>
poison_guard::removeAttempt(std::uint64_t Attempt) {
  auto Found = Attempts.find(Attempt);
  if (Found == Attempts.end())
    return std::nullopt;
  upstream_attempt Record = std::move(Found->second);
  Attempts.erase(Found);
  if (--InFlight[Record.Fingerprint] == 0)
    InFlight.erase(Record.Fingerprint);
  if (Record.Suspect && --SuspectsAt[Record.Process] == 0)
    SuspectsAt.erase(Record.Process);
  Record.Ended = Clock.now();
  return Record;
}
