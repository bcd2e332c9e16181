#include "masticproxy/src/Net/watch_check.h"

#include "masticproxy/src/Net/known_revision.h"

#include <algorithm>

using namespace masticproxy;

void watch_check::onNews(std::uint64_t NewRevision, time_point AsOf) {
  Revision = std::max(Revision, NewRevision);
  CurrentAsOf = std::max(CurrentAsOf, AsOf);
}

void watch_check::onNoNews(std::uint64_t NewRevision, time_point SentAt) {
  Revision = std::max(Revision, NewRevision);
  time_point AsOf = SentAt - longestLag(Plan.Freshness);
  CurrentAsOf = std::max(CurrentAsOf, AsOf);
  Platform.record(NewRevision, AsOf);
}

time_point watch_check::due() {
  // Another kind's check may have shown that nothing at all has changed.
  if (std::optional<time_point> AsOf = Platform.unchangedAsOf(Revision))
    CurrentAsOf = std::max(CurrentAsOf, *AsOf);
  return CurrentAsOf + Plan.LongestAge;
}
