#include "masticproxy/src/Drain/drain_teller.h"

#include <algorithm>

using namespace masticproxy;

void drain_teller::refused(std::string_view Upstream, time_point Now) {
  // Refusals that come together make one notice: the next one has the newer
  // age.
  auto Found = Seen.find(Upstream);
  if (Found != Seen.end())
    Found->second.SeenAt = Now;
  else
    Seen.emplace(std::string(Upstream), record{Now, Now});
}

std::vector<drain_notice> drain_teller::takeDue(time_point Now) {
  std::vector<drain_notice> Due;
  for (auto Next = Seen.begin(); Next != Seen.end();) {
    auto Position = Next++;
    record &Record = Position->second;
    if (Record.NextNotice > Now)
      continue;
    duration Age = Now - Record.SeenAt;
    if (Age >= Timing.Span) {
      Seen.erase(Position);
      continue;
    }
    Record.NextNotice = Now + Timing.Repeat;
    Due.push_back(
        {Position->first, std::chrono::ceil<std::chrono::milliseconds>(Age)});
  }
  return Due;
}

std::optional<time_point> drain_teller::next() const {
  std::optional<time_point> Next;
  for (const auto &[Upstream, Record] : Seen)
    Next = std::min(Next.value_or(Record.NextNotice), Record.NextNotice);
  return Next;
}
