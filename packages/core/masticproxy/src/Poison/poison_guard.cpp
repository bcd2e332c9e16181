#include "masticproxy/src/Poison/poison_guard.h"

#include <utility>

using namespace masticproxy;

namespace {

/// Queries recorded as answered; the oldest record is evicted first.
constexpr std::size_t MaxProven = 65536;

} // namespace

bool poison_guard::mayStart(query_fingerprint Fingerprint,
                            std::string_view Upstream) const {
  poison_state State = Register.stateOf(Fingerprint);
  if (State == poison_state::Condemned)
    return false;
  bool Suspect = State == poison_state::Suspect;
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

void poison_guard::answered(std::uint64_t Attempt) {
  std::optional<attempt_record> Record = removeAttempt(Attempt);
  if (!Record)
    return;
  Register.shardAnswered(Record->Fingerprint, Record->Shard);
  if (ProbeFirst)
    recordProven(Record->Fingerprint);
}

std::optional<poison_notice> poison_guard::upstreamDied(std::uint64_t Attempt) {
  std::optional<attempt_record> Record = removeAttempt(Attempt);
  if (!Record)
    return std::nullopt;
  // A suspect in flight at the same upstream is the likelier cause, so the
  // death is not counted against this query.
  bool SuspectInFlight =
      !Record->Suspect && SuspectsAt.count(Record->Upstream) > 0;
  if (SuspectInFlight)
    return std::nullopt;
  return Register.upstreamDied(Record->Fingerprint, Record->Shard,
                               Record->Started);
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
