#ifndef MASTICPROXY_CTL_VM_REPORTS_H
#define MASTICPROXY_CTL_VM_REPORTS_H

#include <chrono>
#include <span>
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

/// \brief A read of one VM.
struct vm_request {
  std::string Vm;
  std::string Target;
};

/// Sends all \p Requests at the same time. \returns a report for each, in
/// their order.
std::vector<vm_report> askEach(std::span<const vm_request> Requests,
                               std::chrono::milliseconds Timeout);

/// Asks every VM of \p Options for \p Target, as askEach() does. \throws
/// ctl_error where none is named.
std::vector<vm_report> askVms(const ctl_options &Options,
                              std::string_view Target);

} // namespace masticproxy

#endif
