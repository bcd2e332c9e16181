#include "masticproxy/src/Drain/drain_hearsay.h"

#include <algorithm>

using namespace masticproxy;

namespace {

/// Upstreams that notices are kept about; a bound against a VM gone wrong.
constexpr std::size_t MostTold = 4096;

} // namespace

void drain_hearsay::onNotice(const drain_notice &Notice, time_point Now) {
  forgetOld(Now);
  if (Notice.Age >= Timing.Span)
    return;
  auto Found = Told.find(Notice.Upstream);
  if (Found == Told.end() && Told.size() >= MostTold)
    return;
  if (Found == Told.end())
    Found = Told.emplace(Notice.Upstream, record{Now}).first;
  record &Record = Found->second;
  time_point SeenAt = Now - Notice.Age;
  // An answer to an attempt of later than the refusal is the newer news.
  if (SeenAt <= Record.GoodAt)
    return;
  Record.SeenAt = std::max(Record.SeenAt, SeenAt);
  // Past this bound the VM has to see for itself: the one that tells may be
  // wrong.
  Record.Until =
      std::max(Record.Until, std::min(SeenAt + Timing.Span + Timing.Grace,
                                      Record.Since + Timing.LongestTold));
}

void drain_hearsay::answered(std::string_view Upstream, time_point SentAt) {
  auto Found = Told.find(Upstream);
  if (Found == Told.end())
    return;
  record &Record = Found->second;
  // Work taken before the drain began is finished and says nothing.
  if (SentAt <= Record.SeenAt)
    return;
  Record.GoodAt = std::max(Record.GoodAt, SentAt);
  Record.Until = std::min(Record.Until, SentAt);
}

void drain_hearsay::refused(std::string_view Upstream) {
  // Seen by this VM too, so that a new row of notices may be believed.
  auto Found = Told.find(Upstream);
  if (Found != Told.end())
    Told.erase(Found);
}

bool drain_hearsay::keepsOut(std::string_view Upstream, time_point Now) const {
  return Now < until(Upstream);
}

time_point drain_hearsay::until(std::string_view Upstream) const {
  auto Found = Told.find(Upstream);
  return Found == Told.end() ? time_point{} : Found->second.Until;
}

void drain_hearsay::forgetOld(time_point Now) {
  for (auto Next = Told.begin(); Next != Told.end();) {
    auto Position = Next++;
    if (Now >= Position->second.Until + Timing.Rest)
      Told.erase(Position);
  }
}
