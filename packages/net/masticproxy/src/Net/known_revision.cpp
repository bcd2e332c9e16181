#include "masticproxy/src/Net/known_revision.h"

using namespace masticproxy;

void known_revision::record(platform_position Position, platform_position Shown,
                            time_point AsOf) {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (NewestAsOf && AsOf < *NewestAsOf)
    return;
  Newest = Position;
  NewestShown = Shown;
  NewestAsOf = AsOf;
}

std::optional<time_point>
known_revision::unchangedAsOf(platform_position Position) const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Newest <= Position ? NewestAsOf : std::nullopt;
}

std::optional<platform_position>
known_revision::unchangedUpTo(platform_position Position) const {
  std::lock_guard<std::mutex> Lock(Mutex);
  bool Known = NewestAsOf && Newest.Era == Position.Era && Newest <= Position;
  return Known ? std::optional(NewestShown) : std::nullopt;
}
