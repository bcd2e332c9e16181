#ifndef MASTICPROXY_DAEMON_CALLERS_THREAD_H
#define MASTICPROXY_DAEMON_CALLERS_THREAD_H

#include "masticproxy/src/Base/published.h"
#include "masticproxy/src/Daemon/daemon_rings.h"
#include "masticproxy/src/Daemon/loop_thread.h"
#include "masticproxy/src/Daemon/node_status.h"
#include "masticproxy/src/Net/http_server.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace masticproxy {

class clock;
class counter_registry;
class effect_log;
class event_log;
struct forwarding_names;
struct node_settings;

/// \brief Serves callers, the balancer and operators over HTTP.
class callers_thread {
public:
  callers_thread(loop_thread &Loop, const node_settings &Settings,
                 const clock &Clock, counter_registry &Counters,
                 event_log &Events, const published<node_status> &Status,
                 const effect_log &Effects, const forwarding_names &Names);
  ~callers_thread();

  /// Sets the ring that requests go to; before start().
  void connect(query_ring &NewEngine) { Engine = &NewEngine; }

  outcome_ring &outcomes() { return Outcomes; }

  /// Sets what says whether this VM is cut off; before start().
  void setCutOff(std::function<bool()> NewCutOff) {
    CutOff = std::move(NewCutOff);
  }

  /// Listens; before the loop runs. \throws std::runtime_error where it can't.
  void start();
  void stop();

  /// Fails the ready check, so that the balancer sends no more requests, and
  /// ends each connection after its next response.
  void stopBeingReady();

  /// Takes no further connection; open ones end after the response due.
  void stopAccepting();

  /// \returns the connections still open.
  std::size_t connections();

private:
  /// A request that waits for its outcome.
  struct pending_request {
    http_server::responder Respond;
    bool Forwarded = false;
  };

  void handle(http_request Request, const http_server::responder &Respond);
  void handleQuery(http_request Request, const http_server::responder &Respond);
  void forward(http_request Request, const http_server::responder &Respond);
  /// Hands \p Query to the engine. \returns whether it took it.
  bool submit(query_arrived Query, pending_request Pending);
  void onCallerGone(query_ticket Ticket);
  /// Takes over what the configuration in force says.
  void renewLimits(http_server_limits &Limits) const;
  http_response handleRead(const http_request &Request) const;
  http_response readPage(const http_request &Request) const;
  bool configured() const;
  std::string whyNotConfigured() const;
  http_response ready() const;
  http_response timeline(const http_request &Request) const;
  void drainOutcomes();
  void deliver(deliver_outcome Outcome);
  std::string newRequestId();

  const node_settings &Settings;
  const clock &Clock;
  counter_registry &Counters;
  event_log &Events;
  const published<node_status> &Status;
  const effect_log &Effects;
  const forwarding_names &Names;
  loop_thread &Loop;
  std::unique_ptr<http_server> Server;
  /// Serves the pages, where they stand apart.
  std::unique_ptr<http_server> Pages;
  outcome_ring Outcomes;
  query_ring *Engine = nullptr;
  std::unordered_map<query_ticket, pending_request> Pending;
  std::atomic<bool> Ready{true};
  std::function<bool()> CutOff = [] { return false; };
};

} // namespace masticproxy

#endif
