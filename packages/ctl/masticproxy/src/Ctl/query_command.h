#ifndef MASTICPROXY_CTL_QUERY_COMMAND_H
#define MASTICPROXY_CTL_QUERY_COMMAND_H

#include <iosfwd>

namespace masticproxy {

struct ctl_options;

/// Runs `query` and prints the answer to \p Out. \throws ctl_error
void runQueryCommand(const ctl_options &Options, std::ostream &Out);

} // namespace masticproxy

#endif
