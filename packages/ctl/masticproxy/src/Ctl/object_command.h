#ifndef MASTICPROXY_CTL_OBJECT_COMMAND_H
#define MASTICPROXY_CTL_OBJECT_COMMAND_H

#include <iosfwd>
#include <string_view>

namespace masticproxy {

struct ctl_options;

/// Runs `profile ...` or `index ...`, named by \p Kind, and prints to \p Out.
/// \throws ctl_error
void runObjectCommand(std::string_view Kind, const ctl_options &Options,
                      std::ostream &Out);

/// Checks the \p Name of an object of \p Kind. \throws ctl_error
void checkObjectName(std::string_view Kind, std::string_view Name);

/// Checks \p Text of an object of \p Kind. \throws settings_error with all
/// problems.
void checkObjectText(std::string_view Kind, std::string_view Text,
                     std::string_view Name);

} // namespace masticproxy

#endif
