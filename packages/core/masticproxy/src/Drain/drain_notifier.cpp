#include "masticproxy/src/Drain/drain_notifier.h"

#include <algorithm>

using namespace masticproxy;

void drain_notifier::refused(std::string_view Upstream, time_point Now) {
  // A repeated refusal causes no notice of its own: the next scheduled notice
  // has the age of the latest refusal.
  auto Found = Refusals.find(Upstream);
  if (Found != Refusals.end())
    Found->second.RefusedAt = Now;
  else
    Refusals.emplace(std::string(Upstream), record{Now, Now});
}

std::vector<drain_notice> drain_notifier::takeDue(time_point Now) {
  std::vector<drain_notice> Due;
  for (auto Next = Refusals.begin(); Next != Refusals.end();) {
    auto Position = Next++;
    record &Record = Position->second;
    if (Record.NextNotice > Now)
      continue;
    duration Age = Now - Record.RefusedAt;
    if (Age >= Timing.ExclusionPeriod) {
      Refusals.erase(Position);
      continue;
    }
    Record.NextNotice = Now + Timing.NoticeInterval;
    Due.push_back(
        {Position->first, std::chrono::ceil<std::chrono::milliseconds>(Age)});
  }
  return Due;
}

std::optional<time_point> drain_notifier::next() const {
  std::optional<time_point> Next;
  for (const auto &[Upstream, Record] : Refusals)
    Next = std::min(Next.value_or(Record.NextNotice), Record.NextNotice);
  return Next;
}
