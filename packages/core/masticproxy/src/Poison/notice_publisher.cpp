#include "masticproxy/src/Poison/notice_publisher.h"

#include <algorithm>

using namespace masticproxy;

namespace {

/// Queries on record; a further one is not published.
constexpr std::size_t MaxRecords = 1024;

query_fingerprint queryOf(const notice_write &Write) {
  if (auto *Published = std::get_if<publish_notice>(&Write))
    return Published->Notice.Fingerprint;
  return std::get<withdraw_notice>(Write).Fingerprint;
}

} // namespace

void notice_publisher::onNotice(const poison_notice &Notice) {
  dropForgotten();
  if (Records.size() == MaxRecords && !Records.contains(Notice.Fingerprint))
    return;
  time_point Now = Clock.now();
  auto [Found, Added] = Records.try_emplace(Notice.Fingerprint);
  record &Record = Found->second;
  Record.Shard = Notice.Shard;
  Record.Deaths = death_tally::of(Notice, Now);
  Record.Ended = false;
  if (Record.condemns())
    Record.DueAt = Now;
  else if (Added)
    Record.DueAt = Record.Deaths.LastDeath + Timing.ShareAfter;
}

void notice_publisher::onEnded(const suspicion_ended &Ended) {
  auto Found = Records.find(Ended.Fingerprint);
  if (Found == Records.end())
    return;
  if (Found->second.Version == 0)
    Records.erase(Found);
  else
    Found->second.Ended = true;
}

void notice_publisher::onRestored() {
  // Versions of the earlier history mean nothing any more. Where the object is
  // still there, the write finds it by its conflict.
  for (auto &[Fingerprint, Record] : Records) {
    if (Record.Version == 0)
      continue;
    Record.Version = 0;
    Record.PublishedHalfRounds = 0;
    Record.DueAt = Clock.now();
  }
  std::erase_if(Records, [](const record_map::value_type &Entry) {
    return Entry.second.Ended && Entry.second.Version == 0;
  });
}

std::optional<notice_write> notice_publisher::next() {
  dropForgotten();
  record_map::value_type *Chosen = nullptr;
  for (record_map::value_type &Entry : Records) {
    bool Better = isDue(Entry.second) &&
                  (!Chosen || Entry.second.Deaths.HalfRounds >
                                  Chosen->second.Deaths.HalfRounds);
    if (Better)
      Chosen = &Entry;
  }
  if (!Chosen)
    return std::nullopt;
  const auto &[Fingerprint, Record] = *Chosen;
  if (Record.Ended || isForgotten(Record))
    return withdraw_notice{Fingerprint, Record.Version};
  if (!Record.condemns() && !SuspectBudget.take())
    return std::nullopt;
  return publish_notice{
      Record.Deaths.toNotice(Fingerprint, Record.Shard, Clock.now()),
      Record.Version};
}

void notice_publisher::written(const notice_write &Write,
                               std::uint64_t Version) {
  auto Found = Records.find(queryOf(Write));
  if (Found == Records.end())
    return;
  auto *Published = std::get_if<publish_notice>(&Write);
  if (!Published) {
    Records.erase(Found);
    return;
  }
  Found->second.PublishedHalfRounds = Published->Notice.halfRounds();
  Found->second.Version = Version;
}

void notice_publisher::conflicted(const notice_write &Write,
                                  const std::optional<poison_notice> &Current,
                                  std::uint64_t Version) {
  auto Found = Records.find(queryOf(Write));
  if (Found == Records.end())
    return;
  // What another VM wrote since is that VM's to withdraw.
  if (std::holds_alternative<withdraw_notice>(Write)) {
    Records.erase(Found);
    return;
  }
  record &Record = Found->second;
  std::uint64_t Stored = Current ? Current->halfRounds() : 0;
  if (Current)
    Record.Deaths.merge(death_tally::of(*Current, Clock.now()));
  bool AlreadyKnown = Stored >= Record.Deaths.HalfRounds;
  Record.PublishedHalfRounds = Stored;
  Record.Version = AlreadyKnown ? 0 : Version;
  if (Record.condemns())
    Record.DueAt = Clock.now();
}

std::optional<time_point> notice_publisher::nextWakeup() const {
  std::optional<time_point> Next;
  for (const auto &[Fingerprint, Record] : Records) {
    time_point At = forgottenAt(Record);
    if (Record.Ended)
      At = Clock.now();
    else if (Record.isUnpublished() && Record.condemns())
      At = std::min(At, Record.DueAt);
    else if (Record.isUnpublished())
      At = std::min(
          At, std::max(Record.DueAt, Clock.now() + SuspectBudget.untilNext()));
    Next = std::min(Next.value_or(At), At);
  }
  return Next;
}

bool notice_publisher::isDue(const record &Record) const {
  if (Record.Ended || isForgotten(Record))
    return Record.Version != 0;
  return Record.isUnpublished() && Record.DueAt <= Clock.now();
}

time_point notice_publisher::forgottenAt(const record &Record) const {
  return Record.Deaths.LastDeath +
         Timing.forgottenAfter(Record.Deaths.rounds());
}

bool notice_publisher::isForgotten(const record &Record) const {
  return Clock.now() >= forgottenAt(Record);
}

void notice_publisher::dropForgotten() {
  std::erase_if(Records, [this](const record_map::value_type &Entry) {
    return isForgotten(Entry.second) && Entry.second.Version == 0;
  });
}
