#include "masticproxy/src/Drain/received_drain_notices.h"

#include <algorithm>

using namespace masticproxy;

namespace {

/// Maximum number of upstreams on record, in case a faulty VM sends notices
/// about ever more upstreams.
constexpr std::size_t MaxUpstreams = 4096;

} // namespace

void received_drain_notices::onNotice(const drain_notice &Notice,
                                      time_point Now) {
  evictExpired(Now);
  if (Notice.Age >= Timing.ExclusionPeriod)
    return;
  auto Found = Records.find(Notice.Upstream);
  if (Found == Records.end() && Records.size() >= MaxUpstreams)
    return;
  if (Found == Records.end())
    Found = Records.emplace(Notice.Upstream, record{Now}).first;
  record &Record = Found->second;
  time_point RefusedAt = Now - Notice.Age;
  // The upstream has answered an attempt sent after this refusal, so that the
  // notice is outdated.
  if (RefusedAt <= Record.LastAnsweredSentAt)
    return;
  Record.RefusedAt = std::max(Record.RefusedAt, RefusedAt);
  // The sender of the notices may be wrong. After this bound this VM has to try
  // the upstream itself.
  Record.Until =
      std::max(Record.Until,
               std::min(RefusedAt + Timing.ExclusionPeriod + Timing.Grace,
                        Record.SeriesStart + Timing.MaxExclusionByNotices));
}

void received_drain_notices::answered(std::string_view Upstream,
                                      time_point SentAt) {
  auto Found = Records.find(Upstream);
  if (Found == Records.end())
    return;
  record &Record = Found->second;
  // A draining upstream finishes work that it accepted before, so that an
  // answer to an earlier attempt does not show the end of the drain.
  if (SentAt <= Record.RefusedAt)
    return;
  Record.LastAnsweredSentAt = std::max(Record.LastAnsweredSentAt, SentAt);
  Record.Until = std::min(Record.Until, SentAt);
}

void received_drain_notices::refused(std::string_view Upstream) {
  // This VM's own refusal confirms the drain, so that a new series of notices
  // may exclude the upstream for the whole bound again.
  auto Found = Records.find(Upstream);
  if (Found != Records.end())
    Records.erase(Found);
}

bool received_drain_notices::excludes(std::string_view Upstream,
                                      time_point Now) const {
  return Now < excludedUntil(Upstream);
}

time_point
received_drain_notices::excludedUntil(std::string_view Upstream) const {
  auto Found = Records.find(Upstream);
  return Found == Records.end() ? time_point{} : Found->second.Until;
}

void received_drain_notices::evictExpired(time_point Now) {
  for (auto Next = Records.begin(); Next != Records.end();) {
    auto Position = Next++;
    if (Now >= Position->second.Until + Timing.IgnorePeriod)
      Records.erase(Position);
  }
}
