#include "masticproxy/src/Net/heartbeat_schedule.h"

#include "masticproxy/src/Net/platform_freshness.h"

#include <algorithm>

using namespace masticproxy;
using std::chrono::milliseconds;

namespace {

/// Pause between two heartbeats.
constexpr milliseconds Interval{1000};

/// Time without a new heartbeat after which another VM may write it.
constexpr milliseconds Standstill{2500};

/// Longest random wait before a VM takes the heartbeat over.
constexpr milliseconds TakeOverSpread{1000};

/// Longest random wait before a VM's first read: VMs start together, and one is
/// to write the first heartbeat.
constexpr milliseconds FirstSpread{2000};

/// How long before they are needed answers are asked for, so that what follows
/// from them can still be asked: from a copy, and from the platform itself.
constexpr milliseconds CopyLead{300};
constexpr milliseconds PlatformLead{200};

/// Pause after the first failure, as most are of one call alone, and after
/// further ones.
constexpr milliseconds FirstFailurePause{20};
constexpr milliseconds FailurePause{1000};

} // namespace

heartbeat_schedule::heartbeat_schedule(const clock &Clock,
                                       platform_freshness &Platform,
                                       duration LongestAge, unsigned Seed)
    : Clock(Clock), Platform(Platform), LongestAge(LongestAge), Random(Seed),
      CurrentAsOf(Clock.now()) {
  FirstReadAt = Clock.now() + randomUpTo(FirstSpread);
}

heartbeat_action heartbeat_schedule::next() {
  time_point Now = Clock.now();
  if (Now < NextCall)
    return heartbeat_wait{NextCall};
  if (TakesOverAt && Now >= *TakesOverAt)
    return write();
  if (Writes) {
    time_point Due = NewestSince + Interval;
    if (Now < Due)
      return heartbeat_wait{Due};
    return write();
  }
  if (FirstReadAt && Now >= *FirstReadAt)
    return heartbeat_read{read_freshness::Newest};
  if (Now >= readDue())
    return heartbeat_read{CopiesTooOld ? read_freshness::Newest
                                       : read_freshness::MayLag};
  time_point Until = readDue();
  if (TakesOverAt)
    Until = std::min(Until, *TakesOverAt);
  if (FirstReadAt)
    Until = std::min(Until, *FirstReadAt);
  return heartbeat_wait{Until};
}

time_point heartbeat_schedule::readDue() const {
  return CurrentAsOf + LongestAge - (CopiesTooOld ? PlatformLead : CopyLead);
}

// What passed since the last heartbeat became known here passed since it was
// written. A VM that wrote it itself, and soon had the answer, goes on from its
// sending: what each write takes would add up.
heartbeat_write heartbeat_schedule::write() {
  Written = {};
  if (Newest) {
    auto Passed =
        std::chrono::duration_cast<milliseconds>(Clock.now() - CountsFrom);
    Written.Elapsed = Newest->Elapsed + std::min(Passed, LongestHeartbeatStep);
    Written.Previous = Newest->Revision;
    Written.QuietSince = Newest->quietSince();
  }
  TakesOverAt.reset();
  return {Written, Written.Previous};
}

void heartbeat_schedule::onRead(const heartbeat_reading &Reading) {
  if (Reading.Shown.Era < Era)
    return;
  Failures = 0;
  learn(Reading);
  if (Reading.Source == read_freshness::Newest)
    FirstReadAt.reset();
  if (!Reading.Heartbeat)
    return onNone(Reading.Source);
  bool NewEra = Reading.Shown.Era > Era;
  Era = Reading.Shown.Era;
  bool Newer =
      !Newest || NewEra || Reading.Heartbeat->Elapsed > Newest->Elapsed;
  if (Newer) {
    Newest = Reading.Heartbeat;
    NewestSince = CountsFrom = Clock.now();
    TakesOverAt.reset();
    return;
  }
  if (Reading.Source == read_freshness::Newest)
    onStandstill();
}

void heartbeat_schedule::learn(const heartbeat_reading &Reading) {
  if (std::optional<time_point> AsOf = Platform.Copies.onReading(Reading)) {
    CurrentAsOf = std::max(CurrentAsOf, *AsOf);
    Platform.Revision.record(Reading.quietSince(), Reading.Shown, *AsOf);
  }
  if (Reading.Source == read_freshness::MayLag)
    CopiesTooOld = Clock.now() >= CurrentAsOf + LongestAge - CopyLead;
  else
    CopiesTooOld = false;
}

void heartbeat_schedule::onNone(read_freshness Source) {
  // A copy may be older than the first heartbeat.
  if (Source == read_freshness::MayLag)
    return;
  Newest.reset();
  TakesOverAt = Clock.now();
}

void heartbeat_schedule::onStandstill() {
  if (!TakesOverAt && Clock.now() - NewestSince >= Standstill)
    TakesOverAt = Clock.now() + randomUpTo(TakeOverSpread);
}

void heartbeat_schedule::onWritten(std::uint64_t Revision, time_point SentAt) {
  Written.Revision = Revision;
  Newest = Written;
  NewestSince = Clock.now();
  bool Soon = NewestSince - SentAt <= LongestHeartbeatWrite;
  CountsFrom = Soon ? SentAt : NewestSince;
  Writes = true;
  Failures = 0;
  learn({Newest, {Revision, Era}, read_freshness::Newest, SentAt});
}

void heartbeat_schedule::onConflict() {
  Writes = false;
  // Another VM has just written.
  NewestSince = Clock.now();
}

void heartbeat_schedule::onFailure() {
  Writes = false;
  bool First = Failures++ == 0;
  NextCall = Clock.now() + (First ? FirstFailurePause : FailurePause);
}

duration heartbeat_schedule::randomUpTo(duration Longest) {
  std::uniform_real_distribution<double> Part(0, 1);
  return std::chrono::duration_cast<duration>(Longest * Part(Random));
}
