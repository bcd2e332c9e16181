#ifndef MASTICPROXY_SOAK_FAULT_H
#define MASTICPROXY_SOAK_FAULT_H

#include "link_mode.h"

#include <chrono>
#include <string>
#include <variant>

namespace masticproxy::soak {

/// \brief A VM's process is killed, and starts again.
struct vm_killed {
  unsigned Vm = 0;
};

/// \brief A VM's process is asked to end, and starts again.
struct vm_terminated {
  unsigned Vm = 0;
};

/// \brief A VM's process stands still for a while.
struct vm_paused {
  unsigned Vm = 0;
};

/// \brief The connections of all VMs to an upstream come to harm.
struct upstream_link_harmed {
  unsigned Upstream = 0;
  link_mode Mode = link_mode::Open;
};

/// \brief A VM's connections to the store come to harm.
struct store_link_harmed {
  unsigned Vm = 0;
  link_mode Mode = link_mode::Open;
};

/// \brief The store refuses all calls for a while.
struct store_down {};

/// \brief The store answers no call for a while, and never those that it got.
struct store_silent {};

/// \brief The next answer of the store to a watch that waits is lost.
struct store_watch_lost {
  /// Kind of the objects that are watched.
  std::string Kind;
};

/// \brief The store forgets its history.
struct store_compacted {};

/// \brief The operator writes the next configuration.
struct configuration_written {};

/// \brief An upstream drains for a while.
struct upstream_drained {
  unsigned Upstream = 0;
};

/// \brief An upstream is slow for a while.
struct upstream_slowed {
  unsigned Upstream = 0;
};

/// \brief An upstream refuses all requests for a while.
struct upstream_refusing {
  unsigned Upstream = 0;
};

/// \brief An upstream fails all requests for a while.
struct upstream_failing {
  unsigned Upstream = 0;
};

/// \brief An upstream says in its responses that it leaves, and starts again
/// under its identity a while later.
struct upstream_leaving {
  unsigned Upstream = 0;
};

/// \brief An upstream refuses all requests for a while, and says for how long
/// it wants none.
struct upstream_pausing {
  unsigned Upstream = 0;
};

/// \brief The upstreams of a shard refuse some requests, and their links send
/// responses twice.
struct shard_refusing {
  unsigned Shard = 0;
};

/// \brief All upstreams refuse all requests for a while.
struct all_refusing {};

/// What can happen to a site.
using fault = std::variant<vm_killed, vm_terminated, vm_paused,
                           upstream_link_harmed, store_link_harmed, store_down,
                           store_silent, store_compacted, configuration_written,
                           upstream_drained, upstream_slowed, upstream_refusing,
                           upstream_failing, store_watch_lost, upstream_leaving,
                           upstream_pausing, shard_refusing, all_refusing>;

/// \brief A fault with its time.
struct planned_fault {
  /// From the start of the faults.
  std::chrono::milliseconds At{0};
  /// How long it lasts, where it ends by itself.
  std::chrono::milliseconds Span{0};
  fault What;
};

/// \returns \p Fault as a report gives it.
std::string toString(const planned_fault &Fault);

} // namespace masticproxy::soak

#endif
