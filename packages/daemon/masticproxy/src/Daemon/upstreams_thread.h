#ifndef MASTICPROXY_DAEMON_UPSTREAMS_THREAD_H
#define MASTICPROXY_DAEMON_UPSTREAMS_THREAD_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Base/published.h"
#include "masticproxy/src/Cluster/connection_grant.h"
#include "masticproxy/src/Daemon/daemon_rings.h"
#include "masticproxy/src/Daemon/idle_connections.h"
#include "masticproxy/src/Daemon/loop_thread.h"
#include "masticproxy/src/Daemon/pending_ids.h"
#include "masticproxy/src/Net/http_connection.h"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace masticproxy {

class byte_budget;
class counter_registry;
struct forwarding_names;

/// \brief Carries attempts to upstreams over kept-alive HTTP connections.
///
/// No connection is opened above this VM's share, whatever the engine asks
/// for, and those above a share that shrank are closed.
class upstreams_thread {
public:
  /// \p OwnConnections bounds the connections to one upstream; 0: the grant
  /// does. Long responses under way hold \p ResponseBytes together. Forwarded
  /// requests carry header fields of these \p Names.
  upstreams_thread(loop_thread &Loop, const clock &Clock,
                   counter_registry &Counters,
                   const published<connection_grant> &Grant,
                   unsigned OwnConnections, std::size_t ResponseBytes,
                   const forwarding_names &Names);

  /// Sets the ring that results go to; before start().
  void connect(upstream_event_ring &NewEngine) { Engine = &NewEngine; }

  upstream_command_ring &commands() { return Commands; }

  void start();
  void stop();

  /// \returns the number of the newest grant that no open connection exceeds.
  std::uint64_t appliedGrant() const { return AppliedGrant.load(); }

private:
  using connection = idle_connections::connection;

  /// The connections to one upstream.
  struct upstream_connections {
    idle_connections Idle;
    unsigned Busy = 0;
    /// Connections the upstream accepts, over all VMs.
    unsigned Limit = 0;
    time_point LastResponse;
    /// Requests to which the upstream responded with something else than a
    /// result; each may be sent again, over another connection only.
    pending_ids Unanswered;
    /// The process that said it leaves or wants a pause, and until when what
    /// was queued before is not sent there.
    std::string Refusing;
    time_point RefusingUntil{};
  };

  struct open_attempt {
    send_attempt Command;
    connection Connection;
    time_point Started;
  };

  void carryOut(const send_attempt &Command);
  void carryOut(const cancel_attempt &Command);
  void carryOut(const release_attempt &Command);
  void carryOut(const probe_upstream &Command);
  void finish(attempt_id Attempt, exchange_result Result);
  /// Reports an attempt that ended without a response, once it is known
  /// whether its upstream still accepts connections.
  void reportLoss(const open_attempt &Ended, const exchange_error &Error);
  /// Says what \p Response to \p Ended means.
  upstream_event read(const open_attempt &Ended, http_response Response);
  void report(upstream_event Event);
  /// Reports what \p Response says of the upstream itself.
  void noteStatus(const send_attempt &Command, const http_response &Response);
  /// Remembers the request of \p Command if it may be sent again after
  /// \p Event.
  void recordUnanswered(const send_attempt &Command,
                        const upstream_event &Event);
  /// \returns a connection for \p Command, or null where none is free.
  connection takeConnection(const send_attempt &Command);
  /// \returns an open connection. Only where one is idle.
  static connection takeIdle(upstream_connections &Held);
  void giveBack(const std::string &Upstream, connection Connection);
  unsigned places(const std::string &Upstream) const;
  void applyGrant();
  bool closeExcess(const std::string &Upstream);
  /// Closes connections that were not used for long, where other VMs may lack
  /// them.
  void closeUnused();
  void scheduleApply();

  const clock &Clock;
  counter_registry &Counters;
  const published<connection_grant> &Grant;
  unsigned OwnConnections;
  std::shared_ptr<byte_budget> ResponseBytes;
  const forwarding_names &Names;
  loop_thread &Loop;
  boost::asio::steady_timer ApplyTimer;
  std::atomic<std::uint64_t> AppliedGrant{0};
  upstream_command_ring Commands;
  upstream_event_ring *Engine = nullptr;
  std::map<std::string, upstream_connections> Connections;
  std::unordered_map<attempt_id, open_attempt> Open;
};

} // namespace masticproxy

#endif
