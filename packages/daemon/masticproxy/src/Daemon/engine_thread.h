#ifndef MASTICPROXY_DAEMON_ENGINE_THREAD_H
#define MASTICPROXY_DAEMON_ENGINE_THREAD_H

#include "masticproxy/src/Daemon/attempt_log.h"
#include "masticproxy/src/Daemon/daemon_rings.h"
#include "masticproxy/src/Daemon/loop_thread.h"
#include "masticproxy/src/Daemon/request_log.h"
#include "masticproxy/src/Query/query_engine.h"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <set>
#include <string>

namespace masticproxy {

class counter_registry;
class effect_log;
class event_log;
class quota_service;
class team_directory;

/// \brief Runs the query engine: carries events in and commands out.
class engine_thread {
public:
  engine_thread(loop_thread &Loop, const clock &Clock, engine_limits Limits,
                counter_registry &Counters, event_log &Events,
                effect_log &Effects);

  /// Sets the rings that commands go to; before start().
  void connect(upstream_command_ring &Upstreams, outcome_ring &Callers,
               relay_command_ring &Relay, claim_request_ring &Claims,
               notice_ring &Control);

  /// Sets what carries messages about quotas; before start().
  void connectQuotas(quota_service &NewQuotas) { Quotas = &NewQuotas; }

  /// Sets the term of the VM that divides the quotas, 0 if none is known; on
  /// this thread.
  void setGranter(std::uint64_t Term);

  /// \returns the quota of \p Team in force; on this thread.
  std::optional<quota_limit> quotaOf(std::string_view Team) const;

  query_ring &queries() { return Queries; }
  upstream_event_ring &upstreamEvents() { return UpstreamEvents; }
  relay_event_ring &relayEvents() { return RelayEvents; }
  claim_decision_ring &claimDecisions() { return ClaimDecisions; }
  update_ring &updates() { return Updates; }

  void stop() { Loop.stop(); }

  /// Runs no new attempt for VMs of other data centres from here on.
  void closeRelays();

  /// Lets requests that arrive from here on wait no longer than until \p Time.
  void planLeave(time_point Time);

  /// Admits no request from here on, and ends those under way.
  void leave();

  /// \returns whether this VM is cut off from other data centres' upstreams.
  bool cutOff() const { return CutOff.load(); }

  /// \returns the requests under way.
  std::size_t running() const { return Running.load(); }

private:
  void handle(engine_event Event);
  void carryOut(send_attempt Command);
  /// Tells the upstreams' duty something that may be lost.
  template <typename Command> void tellUpstreams(const Command &What);
  void carryOut(const cancel_attempt &Command);
  void carryOut(const release_attempt &Command);
  void carryOut(const probe_upstream &Command);
  void carryOut(deliver_outcome Command);
  void carryOut(const send_relay &Command);
  void carryOut(const cancel_relay &Command);
  void carryOut(const answer_relay &Command);
  void receive(caller_event Event);
  void receive(relay_event Event);
  void carryOut(const claim_wanted &Command);
  void carryOut(const claim_unused &Command);
  void carryOut(const poison_notice &Command);
  void carryOut(const suspicion_ended &Command);
  void carryOut(const drain_notice &Command);
  void carryOut(const ask_quota &Command);
  void take(engine_update Update);
  /// Takes in that an upstream died elsewhere.
  void hear(poison_notice Notice);
  void drainUpstreamEvents();
  void schedule();
  void noteReach();
  /// Writes and counts an attempt that \p Event ends.
  void noteEnd(const engine_event &Event);
  /// Counts how long a request took.
  void noteOutcome(const deliver_outcome &Command);

  loop_thread &Loop;
  query_engine Engine;
  counter_registry &Counters;
  event_log &Events;
  attempt_log Attempts;
  request_log Requests;
  effect_log &Effects;
  std::set<std::string> ProfilesCounted;
  boost::asio::steady_timer Timer;
  std::optional<time_point> TimerSetFor;
  query_ring Queries;
  upstream_event_ring UpstreamEvents;
  relay_event_ring RelayEvents;
  update_ring Updates;
  claim_decision_ring ClaimDecisions;
  upstream_command_ring *Upstreams = nullptr;
  outcome_ring *Callers = nullptr;
  relay_command_ring *Relay = nullptr;
  claim_request_ring *Claims = nullptr;
  notice_ring *Control = nullptr;
  quota_service *Quotas = nullptr;
  std::shared_ptr<const team_directory> Teams;
  std::atomic<std::size_t> Running{0};
  std::atomic<bool> CutOff{false};
};

} // namespace masticproxy

#endif
