#ifndef MASTICPROXY_CTL_CTL_HELP_H
#define MASTICPROXY_CTL_CTL_HELP_H

#include <string>
#include <string_view>

namespace masticproxy {

/// \returns the text of `masticctl --help`.
std::string ctlHelp();

/// \returns the text of `masticctl COMMAND --help`, or "" where there is no
/// such command.
std::string ctlHelp(std::string_view Command);

} // namespace masticproxy

#endif
