#ifndef MASTICPROXY_DRAIN_DRAIN_TIMING_H
#define MASTICPROXY_DRAIN_DRAIN_TIMING_H

#include "masticproxy/src/Base/clock.h"

#include <chrono>

namespace masticproxy {

/// \brief How long a drain counts, and how it is told.
struct drain_timing {
  /// How long an upstream gets no new work after it refused this VM's.
  duration Span = std::chrono::seconds(10);
  /// Time between two notices about one upstream.
  duration Repeat = std::chrono::milliseconds(500);
  /// How much longer VMs wait that were only told: the VM that saw the drain
  /// looks first, and tells them anew before they would ask the upstream.
  duration Grace = std::chrono::seconds(2);
  /// How long notices alone keep an upstream out.
  duration LongestTold = std::chrono::seconds(60);
  /// How long notices are passed over after that.
  duration Rest = std::chrono::seconds(300);
};

} // namespace masticproxy

#endif
