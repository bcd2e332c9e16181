#include "masticproxy/src/Net/known_revision.h"

using namespace masticproxy;

void known_revision::record(std::uint64_t Revision, time_point AsOf) {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (NewestAsOf && AsOf < *NewestAsOf)
    return;
  Newest = Revision;
  NewestAsOf = AsOf;
}

std::optional<time_point>
known_revision::unchangedAsOf(std::uint64_t Revision) const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Newest <= Revision ? NewestAsOf : std::nullopt;
}
