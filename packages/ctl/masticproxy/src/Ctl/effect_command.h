#ifndef MASTICPROXY_CTL_EFFECT_COMMAND_H
#define MASTICPROXY_CTL_EFFECT_COMMAND_H

#include <iosfwd>
#include <string_view>

namespace masticproxy {

struct ctl_options;

/// \returns whether `profile VERB` is one that runProfileReportCommand runs.
bool isProfileReport(std::string_view Verb);

/// Runs `profile effect NAME`, `profile diff NAME [FROM TO]` or `profile
/// history NAME` from what the VMs remember. \throws ctl_error where a VM
/// can't be reached, after printing what the others told.
void runProfileReportCommand(const ctl_options &Options, std::ostream &Out);

} // namespace masticproxy

#endif
