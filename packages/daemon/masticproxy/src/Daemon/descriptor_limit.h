#ifndef MASTICPROXY_DAEMON_DESCRIPTOR_LIMIT_H
#define MASTICPROXY_DAEMON_DESCRIPTOR_LIMIT_H

#include <cstddef>

namespace masticproxy {

/// \returns how many connections of callers a process with \p Descriptors may
/// hold, \p Wanted at most: there is room left for upstreams, the platform, the
/// pages and the log.
std::size_t callerConnectionsFor(std::size_t Descriptors, std::size_t Wanted);

/// \returns the descriptors that this process may have.
std::size_t descriptorLimit();

} // namespace masticproxy

#endif
