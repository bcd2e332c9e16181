#ifndef MASTICPROXY_DAEMON_TIMELINE_LINE_H
#define MASTICPROXY_DAEMON_TIMELINE_LINE_H

#include <string>
#include <string_view>

namespace masticproxy {

struct timeline_event;

/// \returns \p Event of the VM called \p Vm as a line of JSON; facts that do
/// not apply are left out.
std::string timelineLine(const timeline_event &Event, std::string_view Vm);

} // namespace masticproxy

#endif
