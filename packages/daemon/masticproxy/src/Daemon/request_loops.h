#ifndef MASTICPROXY_DAEMON_REQUEST_LOOPS_H
#define MASTICPROXY_DAEMON_REQUEST_LOOPS_H

#include "masticproxy/src/Daemon/loop_thread.h"

#include <memory>

namespace masticproxy {

/// \brief The threads of the duties that a request passes: one for each of
/// them, or one for all.
class request_loops {
public:
  request_loops(bool Shared, counter_registry &Counters);

  loop_thread &callers() { return Callers; }
  loop_thread &engine() { return OwnEngine ? *OwnEngine : Callers; }
  loop_thread &upstreams() { return OwnUpstreams ? *OwnUpstreams : Callers; }

  /// Starts the threads, once all duties stand.
  void start();

private:
  loop_thread Callers;
  /// Null where the duties share a thread.
  std::unique_ptr<loop_thread> OwnEngine;
  std::unique_ptr<loop_thread> OwnUpstreams;
};

} // namespace masticproxy

#endif
