#ifndef MASTICPROXY_CTL_VM_EVENT_H
#define MASTICPROXY_CTL_VM_EVENT_H

#include "masticproxy/src/Net/timeline_event.h"

#include <string>
#include <vector>

namespace masticproxy {

/// \brief An event of a VM's time line, as the VM wrote it.
struct vm_event : timeline_event {
  std::string Vm;
  /// The event as a line of JSON.
  std::string Line;
};

/// \returns the events in \p Lines, one JSON object a line; lines that are no
/// events are left out.
std::vector<vm_event> readVmEvents(const std::string &Lines);

/// Sorts \p Events by their hybrid times: causes before effects, also where
/// the VMs' clocks differ.
void sortByTime(std::vector<vm_event> &Events);

} // namespace masticproxy

#endif
