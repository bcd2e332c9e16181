#ifndef MASTICPROXY_DAEMON_UPSTREAM_READING_H
#define MASTICPROXY_DAEMON_UPSTREAM_READING_H

#include "masticproxy/src/Daemon/stray_response.h"
#include "masticproxy/src/Query/engine_event.h"

#include <variant>

namespace masticproxy {

/// What an upstream's response to an attempt means.
using upstream_reading =
    std::variant<attempt_answered, attempt_failed, stray_response>;

} // namespace masticproxy

#endif
