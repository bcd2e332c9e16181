#include "masticproxy/src/Net/watch_check.h"

#include "masticproxy/src/Net/platform_freshness.h"

#include <algorithm>

using namespace masticproxy;

namespace {

/// How long before it is needed a copy is asked, so that the platform itself
/// can still be asked in time.
constexpr std::chrono::milliseconds CopyLead{100};

} // namespace

void watch_check::onAnswer(platform_position NewPosition, read_freshness Source,
                           time_point SentAt) {
  Position = std::max(Position, NewPosition);
  bool FromCopy = Source == read_freshness::MayLag;
  std::optional<time_point> AsOf =
      FromCopy ? Platform.Copies.asOf(NewPosition) : SentAt;
  if (AsOf)
    CurrentAsOf = std::max(CurrentAsOf, *AsOf);
  CopyTooOld =
      FromCopy && Clock.now() >= CurrentAsOf + Plan.LongestAge - CopyLead;
}

time_point watch_check::due() {
  // The heartbeat may have shown that nothing at all has changed.
  std::optional<time_point> AsOf = Platform.Revision.unchangedAsOf(Position);
  if (AsOf && *AsOf > CurrentAsOf) {
    CurrentAsOf = *AsOf;
    CopyTooOld = false;
  }
  return CurrentAsOf + Plan.LongestAge -
         (CopyTooOld ? std::chrono::milliseconds(0) : CopyLead);
}

platform_position watch_check::knownUpTo() const {
  auto Shown = Platform.Revision.unchangedUpTo(Position);
  return Shown ? std::max(Position, *Shown) : Position;
}

bool watch_check::shownComplete() const {
  return Platform.Revision.unchangedUpTo(Position).has_value();
}
