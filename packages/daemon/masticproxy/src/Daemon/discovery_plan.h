#ifndef MASTICPROXY_DAEMON_DISCOVERY_PLAN_H
#define MASTICPROXY_DAEMON_DISCOVERY_PLAN_H

#include "masticproxy/src/Discovery/discovery_event.h"
#include "masticproxy/src/Discovery/read_freshness.h"

#include <chrono>
#include <optional>
#include <string>

namespace masticproxy {

/// \brief How one kind of the platform's objects is followed.
struct discovery_plan {
  /// Name of the kind in logs and counters.
  std::string Kind;
  /// How long a watch waits for a change.
  std::chrono::milliseconds WatchWait;
  /// Time from its acknowledgement in which a change has to be in force.
  std::chrono::milliseconds Within;
  /// The same where the answer that told the change was lost.
  std::chrono::milliseconds CheckedWithin;
  /// Whether lists are read instead of held watches, each time that something
  /// in the platform may have changed. For kinds that hardly ever change: a
  /// watch costs each VM a call even if nothing does.
  bool Polled = false;
  /// Source of the lists after the first one.
  read_freshness ListFreshness = read_freshness::Newest;
  /// Pause after a call that failed; it doubles with each further one.
  std::chrono::milliseconds FirstPause{100};
  /// Longest wait for the answer to a call that does not watch.
  std::chrono::milliseconds CallTimeout{1000};
  /// Told to control once the platform is out of reach, if anything.
  std::optional<discovery_event> OnOutage = {};
};

} // namespace masticproxy

#endif
