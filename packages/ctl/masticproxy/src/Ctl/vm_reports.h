#ifndef MASTICPROXY_CTL_VM_REPORTS_H
#define MASTICPROXY_CTL_VM_REPORTS_H

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace masticproxy {

struct ctl_options;

/// \brief What one VM answered to a read, or why it did not.
struct vm_report {
  std::string Vm;
  bool Reached = false;
  /// The body, or the reason.
  std::string Text;
};

/// Asks the VM at \p Vm for \p Target.
vm_report askVm(const std::string &Vm, std::string_view Target,
                std::chrono::milliseconds Timeout);

/// Asks every VM of \p Options for \p Target, all at the same time, and gives
/// the reports in the order of the VMs. \throws ctl_error where none is
/// named.
std::vector<vm_report> askVms(const ctl_options &Options,
                              std::string_view Target);

} // namespace masticproxy

#endif
