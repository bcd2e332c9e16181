#ifndef MASTICPROXY_CTL_CHECK_COMMAND_H
#define MASTICPROXY_CTL_CHECK_COMMAND_H

#include <iosfwd>

namespace masticproxy {

struct ctl_options;

/// Runs `check settings|profile|index FILE`, with no server. \throws
/// settings_error with all problems, ctl_error for a bad command line.
void runCheckCommand(const ctl_options &Options, std::ostream &Out);

} // namespace masticproxy

#endif
