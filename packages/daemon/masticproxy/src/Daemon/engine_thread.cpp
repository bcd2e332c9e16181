#include "masticproxy/src/Daemon/engine_thread.h"

#include "masticproxy/src/Base/counter_registry.h"
#include "masticproxy/src/Daemon/daemon_log.h"
#include "masticproxy/src/Daemon/effect_log.h"
#include "masticproxy/src/Net/event_log.h"
#include "masticproxy/src/Query/outcome_code.h"
#include "masticproxy/src/Query/query_catalogue.h"

#include <thread>

using namespace masticproxy;

namespace {

/// Profiles with histograms of their own; operators make new ones all the
/// time, and a process lives for months.
constexpr std::size_t MaxProfilesCounted = 64;

} // namespace

engine_thread::engine_thread(loop_thread &Loop, const clock &Clock,
                             engine_limits Limits, counter_registry &Counters,
                             event_log &Events, effect_log &Effects)
    : Loop(Loop), Engine(Clock, std::move(Limits)), Counters(Counters),
      Events(Events), Attempts(Clock, Events), Requests(Clock),
      Effects(Effects), Timer(Loop.context()),
      Queries(RequestRingCapacity,
              [this] {
                this->Loop.dispatch([this] {
                  Queries.drain(
                      [this](caller_event E) { receive(std::move(E)); });
                });
              }),
      UpstreamEvents(
          RequestRingCapacity,
          [this] { this->Loop.dispatch([this] { drainUpstreamEvents(); }); },
          [this] {
            if (this->Loop.isCurrent())
              return drainUpstreamEvents();
            std::this_thread::yield();
          }),
      RelayEvents(RequestRingCapacity,
                  [this] {
                    this->Loop.post([this] {
                      RelayEvents.drain(
                          [this](relay_event E) { receive(std::move(E)); });
                    });
                  }),
      Updates(ControlRingCapacity,
              [this] {
                this->Loop.post([this] {
                  Updates.drain(
                      [this](engine_update E) { take(std::move(E)); });
                });
              }),
      ClaimDecisions(RequestRingCapacity, [this] {
        this->Loop.post([this] {
          ClaimDecisions.drain(
              [this](claim_decision E) { handle(std::move(E)); });
        });
      }) {}

void engine_thread::connect(upstream_command_ring &NewUpstreams,
                            outcome_ring &NewCallers,
                            relay_command_ring &NewRelay,
                            claim_request_ring &NewClaims,
                            notice_ring &NewControl) {
  Upstreams = &NewUpstreams;
  Relay = &NewRelay;
  Callers = &NewCallers;
  Claims = &NewClaims;
  Control = &NewControl;
}

void engine_thread::closeRelays() {
  Loop.call([this] { handle(relays_closed{}); });
}

void engine_thread::planLeave(time_point Time) {
  Loop.call([this, Time] { handle(leave_planned{Time}); });
}

void engine_thread::leave() {
  Loop.call([this] { handle(leave_started{}); });
}

void engine_thread::handle(engine_event Event) {
  noteEnd(Event);
  for (engine_command &Command : Engine.handle(std::move(Event)))
    std::visit([this](auto C) { carryOut(std::move(C)); }, std::move(Command));
  Running.store(Engine.running());
  noteReach();
  schedule();
}

void engine_thread::noteEnd(const engine_event &Event) {
  std::optional<ended_attempt> Ended = Attempts.ended(Event);
  if (!Ended)
    return;
  bool Answered = std::holds_alternative<attempt_answered>(Event);
  Counters.spans("attempt_seconds", "end=\"" + Ended->Facts.End + "\"")
      .add(Ended->Took);
  if (!Answered)
    Requests.ended(*Ended);
}

void engine_thread::carryOut(send_attempt Command) {
  std::string Label = "kind=\"" + std::string(toString(Command.Kind)) + "\"";
  Counters.get("attempts_total", Label).add();
  Attempts.sent(Command);
  Requests.sent(Command);
  attempt_id Attempt = Command.Attempt;
  if (Upstreams->push(std::move(Command)))
    return;
  // The ring is full: no byte left, which the engine has to hear like any
  // other failure, but not from within its own command.
  Counters.get("upstream_ring_full_total").add();
  Loop.post([this, Attempt] {
    handle(attempt_failed{Attempt, attempt_failure::NotSent});
  });
}

template <typename Command>
void engine_thread::tellUpstreams(const Command &What) {
  // Assigned, not constructed: GCC 12 takes the other alternative's members for
  // read uninitialized in the destructor.
  upstream_command Wrapped;
  Wrapped = What;
  Upstreams->push(std::move(Wrapped));
}

void engine_thread::carryOut(const cancel_attempt &Command) {
  Counters.get("cancellations_total").add();
  Attempts.cancelled(Command.Attempt);
  // A lost cancellation costs work, not truth: the deadline ends the attempt.
  tellUpstreams(Command);
}

void engine_thread::carryOut(const release_attempt &Command) {
  // One that is lost costs bytes until the attempt's deadline.
  tellUpstreams(Command);
}

void engine_thread::carryOut(const probe_upstream &Command) {
  // A lost probe is made up for by the next round.
  tellUpstreams(Command);
}

void engine_thread::noteReach() {
  bool Now = Engine.isPartitioned();
  if (CutOff.exchange(Now) == Now)
    return;
  logWarning(Now ? "event=cut_off reason=\"nothing is heard from other data "
                   "centres, probes included\""
                 : "event=reached_again");
}

void engine_thread::carryOut(deliver_outcome Command) {
  std::string_view Name = codeOf(Command.Outcome);
  Counters.get("outcomes_total", "outcome=\"" + std::string(Name) + "\"").add();
  Events.add("outcome", Command.RequestId, Name);
  Effects.ended(Command.Account, Command.Outcome);
  noteOutcome(Command);
  Requests.delivered(Command);
  // The callers' thread never waits for this one, so its ring drains.
  Callers->pushWaiting(std::move(Command));
}

void engine_thread::noteOutcome(const deliver_outcome &Command) {
  const query_account &Account = Command.Account;
  if (!Account.Admitted)
    return;
  bool Known = ProfilesCounted.contains(Account.Profile) ||
               (ProfilesCounted.size() < MaxProfilesCounted &&
                ProfilesCounted.insert(Account.Profile).second);
  std::string Labels = "profile=\"" + (Known ? Account.Profile : "others") +
                       "\",outcome=\"" + std::string(codeOf(Command.Outcome)) +
                       "\"";
  Counters.spans("request_seconds", Labels).add(Account.Took);
}

void engine_thread::carryOut(const send_relay &Command) {
  Counters.get("relay_attempts_total").add();
  Attempts.sent(Command);
  attempt_id Attempt = Command.Request.Attempt;
  if (Relay->push(Command))
    return;
  Counters.get("relay_ring_full_total").add();
  Loop.post([this, Attempt] {
    handle(relay_failed{Attempt, relay_end::NotSent});
  });
}

void engine_thread::carryOut(const cancel_relay &Command) {
  Counters.get("cancellations_total").add();
  Attempts.cancelled(Command.Attempt);
  Relay->push(Command);
}

void engine_thread::carryOut(const answer_relay &Command) {
  Events.add("relay_answered", Command.RequestId, "");
  // The relay's thread waits for this one, so this one must not wait for it.
  // The origin ends an attempt whose answer is dropped, as unknown.
  if (!Relay->push(Command))
    Counters.get("relay_ring_full_total").add();
}

void engine_thread::receive(caller_event Event) {
  if (auto *Query = std::get_if<query_arrived>(&Event))
    Events.add("query_arrived", Query->RequestId, Query->Profile,
               {.Profile = Query->Profile});
  std::visit([this](auto E) { handle(std::move(E)); }, std::move(Event));
}

void engine_thread::receive(relay_event Event) {
  if (auto *Arrived = std::get_if<relay_arrived>(&Event)) {
    Counters.get("relay_attempts_received_total").add();
    Events.add("relay_arrived", Arrived->Request.RequestId,
               Arrived->Request.Shard + " from " + Arrived->Request.Origin);
  }
  std::visit([this](auto E) { handle(std::move(E)); }, std::move(Event));
}

void engine_thread::take(engine_update Update) {
  if (auto *Changed = std::get_if<catalogue_changed>(&Update)) {
    Teams = Changed->Catalogue->sharedTeams();
    handle(std::move(*Changed));
  } else if (auto *Notice = std::get_if<poison_notice>(&Update))
    hear(std::move(*Notice));
  else if (auto *Ended = std::get_if<suspicion_ended>(&Update))
    handle(*Ended);
  else if (auto *Drain = std::get_if<drain_notice>(&Update))
    handle(std::move(*Drain));
  else if (auto *Remotes = std::get_if<remotes_changed>(&Update))
    Engine.setRemotes(std::move(Remotes->Remotes));
  else
    Engine.setGrant(std::move(std::get<grant_renewed>(Update).Grant));
}

void engine_thread::hear(poison_notice Notice) {
  // Each list of the store's objects tells what was heard before.
  if (!Engine.isNews(Notice))
    return;
  auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(Notice.Age);
  logInfo(
      "event=upstream_death_heard query=" + std::to_string(Notice.Fingerprint) +
      " shard=" + Notice.Shard + " rounds=" + std::to_string(Notice.Rounds) +
      " age_ms=" + std::to_string(Age.count()));
  handle(std::move(Notice));
}

void engine_thread::drainUpstreamEvents() {
  UpstreamEvents.drain([this](upstream_event E) {
    std::visit([this](auto V) { handle(std::move(V)); }, std::move(E));
  });
}

void engine_thread::schedule() {
  std::optional<time_point> Next = Engine.nextWakeup();
  if (!Next)
    return;
  bool Covered = TimerSetFor && *TimerSetFor <= *Next;
  if (Covered)
    return;
  TimerSetFor = Next;
  Timer.expires_at(*Next);
  Timer.async_wait([this](const boost::system::error_code &Error) {
    if (Error)
      return;
    TimerSetFor.reset();
    handle(timer_fired{});
  });
}
