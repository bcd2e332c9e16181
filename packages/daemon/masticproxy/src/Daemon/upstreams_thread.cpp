#include "masticproxy/src/Daemon/upstreams_thread.h"

#include "masticproxy/src/Base/counter_registry.h"
#include "masticproxy/src/Daemon/forwarding.h"
#include "masticproxy/src/Daemon/upstream_check.h"
#include "masticproxy/src/Daemon/upstream_protocol.h"
#include "masticproxy/src/Daemon/upstream_status_reading.h"
#include "masticproxy/src/Net/byte_budget.h"
#include "masticproxy/src/Net/http_status.h"
#include "masticproxy/src/Query/status_class.h"

#include <algorithm>
#include <utility>

using namespace masticproxy;

namespace {

/// How long after its deadline an attempt's connection is given up; until then
/// the upstream can still say that it ended the attempt.
constexpr std::chrono::milliseconds DeadlineGrace{50};

/// Longest wait for the answer to a cancellation.
constexpr std::chrono::milliseconds CancelTimeout{500};

/// How often open connections are compared with this VM's share.
constexpr std::chrono::milliseconds ApplyInterval{50};

/// The same where the share is a setting, which does not change.
constexpr std::chrono::seconds OwnApplyInterval{1};

/// How long a connection is kept without use where the share is a setting:
/// several times the pause between the requests of a VM that gets few.
constexpr std::chrono::seconds LongestUnused{5};

/// Longest time that a command of the engine's is reckoned to wait here.
constexpr std::chrono::seconds LongestQueued{10};

} // namespace

upstreams_thread::upstreams_thread(loop_thread &Loop, const clock &Clock,
                                   counter_registry &Counters,
                                   const published<connection_grant> &Grant,
                                   unsigned OwnConnections,
                                   std::size_t ResponseBytes,
                                   const forwarding_names &Names)
    : Clock(Clock), Counters(Counters), Grant(Grant),
      OwnConnections(OwnConnections),
      ResponseBytes(std::make_shared<byte_budget>(ResponseBytes)), Names(Names),
      Loop(Loop), ApplyTimer(Loop.context()),
      // Posted also from the same thread: the engine is within a command while
      // it sends, and must not hear of the attempt's end before the next one.
      Commands(RequestRingCapacity, [this] {
        this->Loop.post([this] {
          Commands.drain([this](upstream_command C) {
            std::visit([this](auto V) { carryOut(std::move(V)); },
                       std::move(C));
          });
        });
      }) {}

void upstreams_thread::start() { scheduleApply(); }

void upstreams_thread::stop() {
  Loop.stop();
  Open.clear();
  Connections.clear();
}

void upstreams_thread::carryOut(const send_attempt &Command) {
  attempt_id Attempt = Command.Attempt;
  auto Remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      Command.Deadline - Clock.now());
  if (Remaining.count() <= 0)
    return report(attempt_failed{Attempt, attempt_failure::NotSent});
  upstream_connections &Held = Connections[Command.Upstream];
  Held.Limit = Command.Connections;
  // Decided before the upstream said that it wants no more, and queued since.
  bool Unwanted =
      Held.Refusing == Command.Process && Clock.now() < Held.RefusingUntil;
  if (Unwanted)
    return report(attempt_failed{Attempt, attempt_failure::NotSent});
  connection Connection = takeConnection(Command);
  if (!Connection) {
    // The share shrank after the engine had decided.
    Counters.get("upstream_share_refusals_total").add();
    return report(attempt_failed{Attempt, attempt_failure::NotSent});
  }
  http_request Request = Command.Forwarded
                             ? toForwardedAttempt(Command, Remaining, Names)
                             : toUpstreamRequest(Command, Remaining);
  Open.emplace(Attempt, open_attempt{Command, Connection, Clock.now()});
  Connection->exchange(
      std::move(Request), Remaining + DeadlineGrace,
      [this, Attempt](exchange_result R) { finish(Attempt, std::move(R)); });
}

void upstreams_thread::carryOut(const cancel_attempt &Command) {
  auto Found = Open.find(Command.Attempt);
  if (Found == Open.end())
    return;
  // Upstreams drop a forwarded request whose connection closes.
  if (Found->second.Command.Forwarded)
    return Found->second.Connection->close();
  // Only a spare connection carries a cancellation: a new one would go above
  // this VM's share, and the attempt's deadline ends it anyhow.
  std::string Upstream = Found->second.Command.Upstream;
  upstream_connections &Held = Connections[Upstream];
  if (Held.Idle.empty() || Held.Busy >= places(Upstream))
    return;
  connection Connection = takeIdle(Held);
  Connection->exchange(toCancelRequest(Command.Attempt), CancelTimeout,
                       [this, Upstream, Connection](const exchange_result &) {
                         giveBack(Upstream, Connection);
                       });
}

void upstreams_thread::carryOut(const release_attempt &Command) {
  auto Found = Open.find(Command.Attempt);
  if (Found != Open.end())
    Found->second.Connection->release();
}

void upstreams_thread::carryOut(const probe_upstream &Command) {
  Counters.get("upstream_probes_total").add();
  std::string Upstream = Command.Upstream;
  checkUpstream(Loop.context(), Upstream,
                [this, Upstream](connection_check Result) {
                  bool Reached = Result == connection_check::Accepted ||
                                 Result == connection_check::Reset;
                  report(upstream_probed{Upstream, Reached});
                });
}

void upstreams_thread::finish(attempt_id Attempt, exchange_result Result) {
  auto Found = Open.find(Attempt);
  if (Found == Open.end())
    return;
  open_attempt Ended = std::move(Found->second);
  Open.erase(Found);
  if (auto *Response = std::get_if<http_response>(&Result)) {
    Connections[Ended.Command.Upstream].LastResponse = Clock.now();
    noteStatus(Ended.Command, *Response);
    upstream_event Event = read(Ended, std::move(*Response));
    recordUnanswered(Ended.Command, Event);
    giveBack(Ended.Command.Upstream, std::move(Ended.Connection));
    return report(std::move(Event));
  }
  giveBack(Ended.Command.Upstream, std::move(Ended.Connection));
  Counters.get("upstream_connection_errors_total").add();
  reportLoss(Ended, std::get<exchange_error>(Result));
}

void upstreams_thread::reportLoss(const open_attempt &Ended,
                                  const exchange_error &Error) {
  attempt_failed Event{Ended.Command.Attempt, attempt_failure::Unknown};
  if (!Error.MayHaveRun) {
    Event.Failure = attempt_failure::NotSent;
    Event.ConnectionRefused = Error.Refused;
    Event.AtLimit = Error.Closed;
    return report(Event);
  }
  // One that responded to another attempt meanwhile is slow, not dead.
  const std::string &Upstream = Ended.Command.Upstream;
  bool Silent =
      Error.TimedOut && Connections[Upstream].LastResponse < Ended.Started;
  if (!Error.Closed && !Silent)
    return report(Event);
  // An upstream at its limit of connections resets them too, and a network
  // partition can swallow the check: only where nothing listens it died.
  checkUpstream(Loop.context(), Upstream,
                [this, Event](connection_check Result) mutable {
                  Event.UpstreamDied = Result == connection_check::Refused;
                  Event.AtLimit = Result == connection_check::Reset;
                  report(Event);
                });
}

upstream_event upstreams_thread::read(const open_attempt &Ended,
                                      http_response Response) {
  const send_attempt &Command = Ended.Command;
  upstream_reading Read =
      Command.Forwarded
          ? fromForwardedResponse(Command, std::move(Response), Names)
          : fromUpstreamResponse(Command, std::move(Response));
  if (auto *Answered = std::get_if<attempt_answered>(&Read))
    return std::move(*Answered);
  if (auto *Failed = std::get_if<attempt_failed>(&Read))
    return *Failed;
  // What else comes over the connection can't be told apart.
  Counters.get("upstream_stray_responses_total").add();
  Ended.Connection->close();
  return attempt_failed{Command.Attempt, attempt_failure::Unknown};
}

void upstreams_thread::noteStatus(const send_attempt &Command,
                                  const http_response &Response) {
  upstream_status Status = readUpstreamStatus(Command, Response, Names);
  bool Unreadable = Response.Status == StatusUnavailable &&
                    !Status.RetryAfter &&
                    !findHeader(Response.Headers, "retry-after").empty();
  if (Unreadable)
    Counters.get("upstream_retry_after_unreadable_total").add();
  if (!Status.any())
    return;
  upstream_connections &Held = Connections[Command.Upstream];
  if (std::exchange(Held.Refusing, Command.Process) != Command.Process)
    Held.RefusingUntil = {};
  duration Span = LongestQueued;
  if (!Status.Leaving)
    Span = std::min<duration>(*Status.RetryAfter, LongestQueued);
  Held.RefusingUntil = std::max(Held.RefusingUntil, Clock.now() + Span);
  if (Status.Leaving) {
    Counters.get("upstreams_leaving_total").add();
    while (!Held.Idle.empty())
      Held.Idle.closeOldest();
  }
  report(std::move(Status));
}

void upstreams_thread::recordUnanswered(const send_attempt &Command,
                                        const upstream_event &Event) {
  const auto *Answered = std::get_if<attempt_answered>(&Event);
  if (Answered && Answered->Result.Status < FirstServerError)
    return;
  Connections[Command.Upstream].Unanswered.add(Command.RequestId,
                                               Command.Deadline, Clock.now());
}

void upstreams_thread::report(upstream_event Event) {
  // The engine never waits for this thread, so its ring drains.
  Engine->pushWaiting(std::move(Event));
}

upstreams_thread::connection
upstreams_thread::takeConnection(const send_attempt &Command) {
  upstream_connections &Held = Connections[Command.Upstream];
  unsigned Allowed = places(Command.Upstream);
  if (Held.Busy >= Allowed)
    return nullptr;
  // A late copy of the response to the earlier try has the same id.
  bool NeedsNew = Held.Unanswered.contains(Command.RequestId);
  if (!NeedsNew && !Held.Idle.empty())
    return takeIdle(Held);
  if (Held.Busy + Held.Idle.size() >= Allowed)
    Held.Idle.closeOldest();
  ++Held.Busy;
  Counters.get("upstream_connections_total").add();
  return std::make_shared<http_connection>(Loop.context(), Command.Upstream,
                                           ResponseBytes);
}

upstreams_thread::connection
upstreams_thread::takeIdle(upstream_connections &Held) {
  ++Held.Busy;
  return Held.Idle.take();
}

void upstreams_thread::giveBack(const std::string &Upstream,
                                connection Connection) {
  upstream_connections &Held = Connections[Upstream];
  --Held.Busy;
  if (!Connection->warm())
    return;
  // A new connection is dear, so an idle one is kept while the share allows.
  Held.Idle.keep(std::move(Connection), Clock.now());
  closeExcess(Upstream);
}

unsigned upstreams_thread::places(const std::string &Upstream) const {
  auto Found = Connections.find(Upstream);
  if (Found == Connections.end())
    return 0;
  if (OwnConnections > 0)
    return std::min(OwnConnections, Found->second.Limit);
  std::shared_ptr<const connection_grant> Newest = Grant.get();
  if (!Newest)
    return 0;
  return Newest->places(Upstream, Found->second.Limit, Clock.now());
}

void upstreams_thread::applyGrant() {
  std::shared_ptr<const connection_grant> Newest = Grant.get();
  bool Within = true;
  for (const auto &[Upstream, Held] : Connections)
    Within = closeExcess(Upstream) && Within;
  if (Newest && Within)
    AppliedGrant.store(Newest->Number);
}

bool upstreams_thread::closeExcess(const std::string &Upstream) {
  upstream_connections &Held = Connections[Upstream];
  unsigned Allowed = places(Upstream);
  while (!Held.Idle.empty() && Held.Idle.size() + Held.Busy > Allowed) {
    Held.Idle.closeOldest();
    Counters.get("upstream_connections_closed_total").add();
  }
  return Held.Busy <= Allowed;
}

void upstreams_thread::closeUnused() {
  counter &Closed = Counters.get("upstream_connections_closed_total");
  time_point Oldest = Clock.now() - LongestUnused;
  for (auto &[Upstream, Held] : Connections)
    Closed.add(static_cast<std::int64_t>(Held.Idle.closeUnusedSince(Oldest)));
}

void upstreams_thread::scheduleApply() {
  ApplyTimer.expires_after(OwnConnections > 0 ? duration(OwnApplyInterval)
                                              : duration(ApplyInterval));
  ApplyTimer.async_wait([this](const boost::system::error_code &Error) {
    if (Error)
      return;
    applyGrant();
    // VMs that do not know of each other's shares leave each other room.
    if (OwnConnections > 0)
      closeUnused();
    scheduleApply();
  });
}
