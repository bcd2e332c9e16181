#include "masticproxy/src/Daemon/request_loops.h"

using namespace masticproxy;

// On a VM with a part of one core, each hand-over between threads costs more
// processor time than what is handed over; on one with several cores the
// duties work side by side.
request_loops::request_loops(bool Shared, counter_registry &Counters)
    : Callers(Counters),
      OwnEngine(Shared ? nullptr : std::make_unique<loop_thread>(Counters)),
      OwnUpstreams(Shared ? nullptr : std::make_unique<loop_thread>(Counters)) {
}

void request_loops::start() {
  engine().start();
  upstreams().start();
  callers().start();
}
