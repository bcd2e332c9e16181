#ifndef MASTICPROXY_DAEMON_DISCOVERY_LOG_H
#define MASTICPROXY_DAEMON_DISCOVERY_LOG_H

#include "masticproxy/src/Discovery/discovery_event.h"

namespace masticproxy {

/// Writes a line for what the platform's store says.
void logDiscovery(const discovery_event &Event);

} // namespace masticproxy

#endif
