#ifndef MASTICPROXY_CTL_TIMELINE_READER_H
#define MASTICPROXY_CTL_TIMELINE_READER_H

#include "masticproxy/src/Ctl/vm_event.h"
#include "masticproxy/src/Ctl/vm_reports.h"

#include <functional>
#include <span>
#include <string>
#include <vector>

namespace masticproxy {

/// \brief A VM has begun or stopped to answer.
struct vm_change {
  /// Its callers' address.
  std::string Vm;
  bool Answers = false;
  /// Why it does not.
  std::string Reason;
};

/// \brief What one look at all VMs has brought.
struct timeline_batch {
  /// New events, in causal order.
  std::vector<vm_event> Events;
  std::vector<vm_change> Changes;
};

/// \brief Reads the time lines of several VMs; gives each event once.
class timeline_reader {
public:
  /// Asks VMs; gives a report for each request, in their order.
  using fetch =
      std::function<std::vector<vm_report>(std::span<const vm_request>)>;

  /// Reads the events of \p RequestId only, if it is not empty.
  timeline_reader(const std::vector<std::string> &Addresses,
                  std::string RequestId, fetch Fetch);

  /// Looks at all VMs. All are taken to answer before the first look.
  timeline_batch read();

  /// \returns the VMs that did not answer at the last look.
  std::vector<std::string> unreached() const;

private:
  struct vm_state {
    std::string Address;
    bool Answers = true;
    /// Stamp of its newest event that was given out.
    hybrid_time Newest = {-1, 0};
  };

  static void take(const vm_report &Report, vm_state &Vm, timeline_batch &Into);
  std::string targetFor(const vm_state &Vm) const;

  std::vector<vm_state> Vms;
  std::string RequestId;
  fetch Fetch;
};

} // namespace masticproxy

#endif
