#ifndef MASTICPROXY_NET_KNOWN_REVISION_H
#define MASTICPROXY_NET_KNOWN_REVISION_H

#include "masticproxy/src/Base/clock.h"

#include <cstdint>
#include <mutex>
#include <optional>

namespace masticproxy {

/// \brief The platform's revision as of the newest time at which a call showed
/// it. Shared by the threads that follow one kind of objects each: the revision
/// counts the changes of all kinds.
class known_revision {
public:
  /// Records that the changes up to \p AsOf have \p Revision or less.
  void record(std::uint64_t Revision, time_point AsOf);

  /// \returns the newest time as of which no change above \p Revision is known
  /// to exist; empty if there is one, or nothing is known.
  std::optional<time_point> unchangedAsOf(std::uint64_t Revision) const;

private:
  mutable std::mutex Mutex;
  std::uint64_t Newest = 0;
  std::optional<time_point> NewestAsOf;
};

} // namespace masticproxy

#endif
