#include "masticproxy/src/Net/copy_age.h"

#include "masticproxy/src/Net/platform_heartbeat.h"

#include <algorithm>

using namespace masticproxy;
using std::chrono::milliseconds;

namespace {

/// Positions whose time is kept: those of some seconds, as copies are older
/// than the newest answer.
constexpr std::size_t KnownPositions = 16;

} // namespace

std::optional<time_point>
copy_age::onReading(const heartbeat_reading &Reading) {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (Reading.Shown.Era < Era)
    return std::nullopt;
  if (Reading.Shown.Era > Era) {
    // Heartbeats that the platform has forgotten may be written once more.
    Era = Reading.Shown.Era;
    Bound.reset();
    Known.clear();
  }
  bool FromCopy = Reading.Source == read_freshness::MayLag;
  std::optional<time_point> AsOf =
      FromCopy ? asOfCopy(Reading) : Reading.SentAt;
  if (!FromCopy)
    improveBound(Reading);
  if (AsOf)
    note(Reading.Shown, *AsOf);
  return AsOf;
}

// The first heartbeat after the bound was written after Bound->Time, and adds
// LongestHeartbeatStep at most to Bound->Elapsed. It may have taken effect
// LongestHeartbeatWrite after the time that it states.
std::optional<time_point>
copy_age::asOfCopy(const heartbeat_reading &Reading) const {
  bool Later = Bound && Reading.Heartbeat &&
               Reading.Heartbeat->Revision > Bound->Revision &&
               Reading.Heartbeat->Elapsed > Bound->Elapsed;
  if (!Later)
    return std::nullopt;
  milliseconds Since = Reading.Heartbeat->Elapsed - Bound->Elapsed;
  milliseconds Uncertain = LongestHeartbeatStep + LongestHeartbeatWrite;
  time_point AsOf = Bound->Time + std::max(Since - Uncertain, milliseconds(0));
  return std::min(AsOf, Reading.SentAt);
}

void copy_age::improveBound(const heartbeat_reading &Reading) {
  // Where there is none, the first one will state that nothing has elapsed.
  lower_bound Found{0, -LongestHeartbeatStep, Reading.SentAt};
  if (Reading.Heartbeat)
    Found = {Reading.Heartbeat->Revision, Reading.Heartbeat->Elapsed,
             Reading.SentAt};
  if (!Bound || Found.Time - Found.Elapsed > Bound->Time - Bound->Elapsed)
    Bound = Found;
}

void copy_age::note(platform_position Position, time_point AsOf) {
  bool Increases = Known.empty() || (Known.back().Position < Position &&
                                     Known.back().AsOf < AsOf);
  if (!Increases)
    return;
  Known.push_back({Position, AsOf});
  if (Known.size() > KnownPositions)
    Known.pop_front();
}

std::optional<time_point> copy_age::asOf(platform_position Position) const {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (Position.Era != Era)
    return std::nullopt;
  for (auto At = Known.rbegin(); At != Known.rend(); ++At)
    if (At->Position <= Position)
      return At->AsOf;
  return std::nullopt;
}
