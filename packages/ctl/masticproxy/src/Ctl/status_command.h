#ifndef MASTICPROXY_CTL_STATUS_COMMAND_H
#define MASTICPROXY_CTL_STATUS_COMMAND_H

#include <iosfwd>
#include <string_view>

namespace masticproxy {

struct ctl_options;

/// Runs `status` and prints what each VM reports. \throws ctl_error where a VM
/// can't be reached, after printing the others.
void runStatusCommand(const ctl_options &Options, std::ostream &Out);

/// Runs `profile status NAME` or `index status NAME`: the version in force on
/// each VM. \throws ctl_error where a VM can't be reached.
void runObjectStatusCommand(std::string_view Kind, const ctl_options &Options,
                            std::ostream &Out);

} // namespace masticproxy

#endif
