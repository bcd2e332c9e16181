#ifndef MASTICPROXY_CTL_TIMELINE_COMMAND_H
#define MASTICPROXY_CTL_TIMELINE_COMMAND_H

#include <iosfwd>

namespace masticproxy {

struct ctl_options;

/// Runs `timeline`: the events of all VMs in causal order, as they are, as
/// they come, or as one request's fan-out. \throws ctl_error where a VM can't
/// be reached, after printing the others' events.
void runTimelineCommand(const ctl_options &Options, std::ostream &Out);

} // namespace masticproxy

#endif
