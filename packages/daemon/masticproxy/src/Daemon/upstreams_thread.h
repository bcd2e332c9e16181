#ifndef MASTICPROXY_DAEMON_UPSTREAMS_THREAD_H
#define MASTICPROXY_DAEMON_UPSTREAMS_THREAD_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Daemon/daemon_rings.h"
#include "masticproxy/src/Daemon/loop_thread.h"
#include "masticproxy/src/Net/http_connection.h"

#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace masticproxy {

class counter_registry;

/// \brief Carries attempts to upstreams over kept-alive HTTP connections.
class upstreams_thread {
public:
  upstreams_thread(const clock &Clock, counter_registry &Counters);

  /// Sets the ring that results go to; before start().
  void connect(upstream_event_ring &NewEngine) { Engine = &NewEngine; }

  upstream_command_ring &commands() { return Commands; }

  void start() { Loop.start(); }
  void stop();

private:
  using connection = std::shared_ptr<http_connection>;

  /// The idle connections of one upstream, last used first.
  using idle_list = std::list<connection>;

  struct open_attempt {
    std::string Upstream;
    connection Connection;
  };

  void carryOut(const send_attempt &Command);
  void carryOut(const cancel_attempt &Command);
  void finish(attempt_id Attempt, exchange_result Result);
  void report(const upstream_event &Event);
  connection takeConnection(const std::string &Upstream);

  const clock &Clock;
  counter_registry &Counters;
  loop_thread Loop;
  upstream_command_ring Commands;
  upstream_event_ring *Engine = nullptr;
  std::map<std::string, idle_list> Idle;
  std::unordered_map<attempt_id, open_attempt> Open;
};

} // namespace masticproxy

#endif
