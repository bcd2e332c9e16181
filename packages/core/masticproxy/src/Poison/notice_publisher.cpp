#include "masticproxy/src/Poison/notice_publisher.h"

#include <algorithm>

using namespace masticproxy;

namespace {

/// Queries on record; a further one is not published.
constexpr std::size_t MaxRecords = 1024;

/// Rounds of deaths that condemn a query.
constexpr unsigned CondemningRounds = 2;

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
  Record.Notice = Notice;
  Record.LastUpstreamDeath = Now - Notice.Age;
  Record.Ended = false;
  bool Urgent = Notice.Rounds >= CondemningRounds;
  if (Urgent)
    Record.DueAt = Now;
  else if (Added)
    Record.DueAt = Now + Timing.ShareAfter;
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

std::optional<notice_write> notice_publisher::next() {
  dropForgotten();
  const record *Chosen = nullptr;
  for (const auto &[Fingerprint, Record] : Records) {
    bool Better = isDue(Record) && (!Chosen || Record.Notice.halfRounds() >
                                                   Chosen->Notice.halfRounds());
    if (Better)
      Chosen = &Record;
  }
  if (!Chosen)
    return std::nullopt;
  if (Chosen->Ended || isForgotten(*Chosen))
    return withdraw_notice{Chosen->Notice.Fingerprint, Chosen->Version};
  publish_notice Write{Chosen->Notice, Chosen->Version};
  Write.Notice.Age = std::chrono::duration_cast<std::chrono::milliseconds>(
      Clock.now() - Chosen->LastUpstreamDeath);
  return Write;
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
                                  std::uint64_t HalfRounds,
                                  std::uint64_t Version) {
  auto Found = Records.find(queryOf(Write));
  if (Found == Records.end())
    return;
  // What another VM wrote since is that VM's to withdraw.
  bool Withdrawn = std::holds_alternative<withdraw_notice>(Write);
  if (Withdrawn) {
    Records.erase(Found);
    return;
  }
  record &Record = Found->second;
  bool AlreadyKnown = HalfRounds >= Record.Notice.halfRounds();
  Record.PublishedHalfRounds = AlreadyKnown ? Record.Notice.halfRounds() : 0;
  Record.Version = AlreadyKnown ? 0 : Version;
}

std::optional<time_point> notice_publisher::nextWakeup() const {
  std::optional<time_point> Next;
  for (const auto &[Fingerprint, Record] : Records) {
    bool Unpublished = Record.Notice.halfRounds() > Record.PublishedHalfRounds;
    time_point At =
        Record.LastUpstreamDeath + Timing.forgottenAfter(Record.Notice.Rounds);
    if (Record.Ended)
      At = Clock.now();
    else if (Unpublished)
      At = std::min(At, Record.DueAt);
    Next = std::min(Next.value_or(At), At);
  }
  return Next;
}

bool notice_publisher::isDue(const record &Record) const {
  if (Record.Ended || isForgotten(Record))
    return Record.Version != 0;
  return Record.Notice.halfRounds() > Record.PublishedHalfRounds &&
         Record.DueAt <= Clock.now();
}

bool notice_publisher::isForgotten(const record &Record) const {
  return Clock.now() - Record.LastUpstreamDeath >=
         Timing.forgottenAfter(Record.Notice.Rounds);
}

void notice_publisher::dropForgotten() {
  std::erase_if(Records, [this](const record_map::value_type &Entry) {
    return isForgotten(Entry.second) && Entry.second.Version == 0;
  });
}
