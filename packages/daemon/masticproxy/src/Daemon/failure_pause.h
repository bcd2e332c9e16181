#ifndef MASTICPROXY_DAEMON_FAILURE_PAUSE_H
#define MASTICPROXY_DAEMON_FAILURE_PAUSE_H

#include "masticproxy/src/Base/clock.h"

namespace masticproxy {

class retry_backoff;

/// Notes a failure at \p Backoff. \returns the pause before the next try, drawn
/// by each thread for itself.
duration pauseAfterFailure(retry_backoff &Backoff);

} // namespace masticproxy

#endif
