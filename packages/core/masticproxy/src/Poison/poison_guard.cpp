#include "masticproxy/src/Poison/poison_guard.h"

#include <utility>

using namespace masticproxy;

namespace {

/// Queries recorded as answered; the oldest record is evicted first.
constexpr std::size_t MaxProven = 65536;

} // namespace

bool poison_guard::condemned(query_fingerprint Fingerprint) const {
  poison_state State = Register.stateOf(Fingerprint);
  // What became of the lost attempt decides whether the query is condemned.
  // Until that is known, each further attempt could crash one more upstream.
  return State == poison_state::Condemned ||
         (State == poison_state::Suspect && Lost.hasSuspect(Fingerprint));
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
                           std::string_view Upstream, std::string_view Shard) {
  bool Suspect = Register.stateOf(Fingerprint) == poison_state::Suspect;
  Attempts.emplace(Attempt,
                   attempt_record{Fingerprint, std::string(Upstream),
                                  std::string(Shard), Clock.now(), Suspect});
  ++InFlight[Fingerprint];
  if (Suspect)
    ++SuspectsAt[std::string(Upstream)];
}

std::optional<suspicion_ended> poison_guard::answered(std::uint64_t Attempt) {
  std::optional<attempt_record> Record = removeAttempt(Attempt);
  if (!Record)
    return std::nullopt;
  Lost.removeAt(Record->Upstream);
  if (ProbeFirst)
    recordProven(Record->Fingerprint);
  if (!Register.shardAnswered(Record->Fingerprint, Record->Shard))
    return std::nullopt;
  return suspicion_ended{Record->Fingerprint};
}

void poison_guard::refused(std::uint64_t Attempt) {
  if (std::optional<attempt_record> Record = removeAttempt(Attempt))
    Lost.removeAt(Record->Upstream);
}

std::optional<poison_notice> poison_guard::upstreamDied(std::uint64_t Attempt) {
  std::optional<attempt_record> Record = removeAttempt(Attempt);
  if (!Record || Record->DeathRecorded)
    return std::nullopt;
  return recordDeath(*Record);
}

std::optional<query_fingerprint> poison_guard::lost(std::uint64_t Attempt) {
  std::optional<attempt_record> Record = removeAttempt(Attempt);
  if (!Record || Record->DeathRecorded)
    return std::nullopt;
  Lost.add({Record->Fingerprint, std::move(Record->Upstream),
            std::move(Record->Shard), Record->Started, Clock.now(),
            Record->Suspect});
  if (!condemned(Record->Fingerprint))
    return std::nullopt;
  return Record->Fingerprint;
}

std::vector<poison_notice>
poison_guard::refusedConnection(std::uint64_t Attempt) {
  std::optional<attempt_record> Unsent = removeAttempt(Attempt);
  if (!Unsent)
    return {};
  std::vector<poison_notice> Notices = upstreamsGone(
      [&](std::string_view Upstream) { return Upstream == Unsent->Upstream; });
  // Their connections may stay open and silent until their deadline.
  for (auto &[Id, Record] : Attempts) {
    if (Record.Upstream != Unsent->Upstream || Record.DeathRecorded)
      continue;
    Record.DeathRecorded = true;
    if (std::optional<poison_notice> Notice = recordDeath(Record))
      Notices.push_back(std::move(*Notice));
  }
  return Notices;
}

std::vector<poison_notice> poison_guard::upstreamsGone(
    const std::function<bool(std::string_view)> &Ended) {
  std::vector<poison_notice> Notices;
  for (lost_attempt &Attempt : Lost.takeAt(Ended)) {
    std::optional<poison_notice> Notice = recordDeath(
        {Attempt.Fingerprint, std::move(Attempt.Upstream),
         std::move(Attempt.Shard), Attempt.Started, Attempt.Suspect});
    if (Notice)
      Notices.push_back(std::move(*Notice));
  }
  return Notices;
}

std::optional<poison_notice>
poison_guard::recordDeath(const attempt_record &Record) {
  Deaths.add(Record.Fingerprint, Record.Upstream);
  // A suspect in flight at the same upstream is the likelier cause, so the
  // death is not counted against this query.
  bool SuspectInFlight =
      !Record.Suspect && SuspectsAt.count(Record.Upstream) > 0;
  if (SuspectInFlight)
    return std::nullopt;
  return Register.upstreamDied(Record.Fingerprint, Record.Shard, Record.Started,
                               Deaths.haveOtherCause(Record.Fingerprint));
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

std::optional<poison_guard::attempt_record>
poison_guard::removeAttempt(std::uint64_t Attempt) {
  auto Found = Attempts.find(Attempt);
  if (Found == Attempts.end())
    return std::nullopt;
  attempt_record Record = std::move(Found->second);
  Attempts.erase(Found);
  if (--InFlight[Record.Fingerprint] == 0)
    InFlight.erase(Record.Fingerprint);
  if (Record.Suspect && --SuspectsAt[Record.Upstream] == 0)
    SuspectsAt.erase(Record.Upstream);
  return Record;
}
