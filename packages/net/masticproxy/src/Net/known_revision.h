#ifndef MASTICPROXY_NET_KNOWN_REVISION_H
#define MASTICPROXY_NET_KNOWN_REVISION_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Net/platform_position.h"

#include <mutex>
#include <optional>

namespace masticproxy {

/// \brief The platform's position as of the newest time at which a call showed
/// it. Shared by the threads that follow one kind of objects each: the revision
/// counts the changes of all kinds.
class known_revision {
public:
  /// Records that the changes up to \p AsOf are at \p Position or before, and
  /// that nothing but the heartbeat changed from there up to \p Shown.
  void record(platform_position Position, platform_position Shown,
              time_point AsOf);

  /// \returns the newest time as of which no change after \p Position is known
  /// to exist; empty if there is one, or nothing is known.
  std::optional<time_point> unchangedAsOf(platform_position Position) const;

  /// \returns the last position up to which nothing is known to have changed
  /// after \p Position but the heartbeat; empty if there is none.
  std::optional<platform_position>
  unchangedUpTo(platform_position Position) const;

private:
  mutable std::mutex Mutex;
  platform_position Newest;
  platform_position NewestShown;
  std::optional<time_point> NewestAsOf;
};

} // namespace masticproxy

#endif
