#ifndef MASTICPROXY_DRAIN_DRAIN_TIMING_H
#define MASTICPROXY_DRAIN_DRAIN_TIMING_H

#include "masticproxy/src/Base/clock.h"

#include <chrono>

namespace masticproxy {

/// \brief How long a draining upstream is excluded, and how VMs notify each
/// other.
struct drain_timing {
  /// How long an upstream gets no new work from a VM whose work it refused.
  duration ExclusionPeriod = std::chrono::seconds(10);
  /// Time between two notices of one VM about one upstream.
  duration NoticeInterval = std::chrono::milliseconds(500);
  /// How much longer the upstream is excluded by VMs that only received
  /// notices: the VM that was refused tries it first and, if refused again,
  /// notifies them before they would send to the upstream.
  duration Grace = std::chrono::seconds(2);
  /// How long notices alone can exclude an upstream, counted from the first
  /// notice of a series.
  duration MaxExclusionByNotices = std::chrono::seconds(60);
  /// How long after that limit further notices have no effect, so that a VM
  /// that sends wrong notices cannot exclude an upstream for ever.
  duration IgnorePeriod = std::chrono::seconds(300);
};

} // namespace masticproxy

#endif
