#include "masticproxy/src/Daemon/request_loops.h"

using namespace masticproxy;

// On a VM with a part of one core, each hand-over between threads costs more
// processor time than what is handed over; on one with several cores the
// duties work side by side.
request_loops::request_loops(bool Shared)
    : OwnEngine(Shared ? nullptr : std::make_unique<loop_thread>()),
      OwnUpstreams(Shared ? nullptr : std::make_unique<loop_thread>()) {}

void request_loops::start() {
  engine().start();
  upstreams().start();
  callers().start();
}
