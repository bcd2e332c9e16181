#include "masticproxy/src/Daemon/upstreams_thread.h"

#include "masticproxy/src/Base/counter_registry.h"
#include "masticproxy/src/Daemon/upstream_check.h"
#include "masticproxy/src/Daemon/upstream_protocol.h"

#include <algorithm>
#include <thread>

using namespace masticproxy;

namespace {

/// How long after its deadline an attempt's connection is given up; until then
/// the upstream can still say that it ended the attempt.
constexpr std::chrono::milliseconds DeadlineGrace{50};

/// Longest wait for the answer to a cancellation.
constexpr std::chrono::milliseconds CancelTimeout{500};

} // namespace

upstreams_thread::upstreams_thread(const clock &Clock,
                                   counter_registry &Counters)
    : Clock(Clock), Counters(Counters), Commands(RequestRingCapacity, [this] {
        Loop.post([this] {
          Commands.drain([this](upstream_command C) {
            std::visit([this](auto V) { carryOut(std::move(V)); },
                       std::move(C));
          });
        });
      }) {}

void upstreams_thread::stop() {
  Loop.stop();
  Open.clear();
  Idle.clear();
}

void upstreams_thread::carryOut(const send_attempt &Command) {
  attempt_id Attempt = Command.Attempt;
  auto Remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      Command.Deadline - Clock.now());
  if (Remaining.count() <= 0)
    return report(attempt_failed{Attempt, attempt_failure::NotSent});
  connection Connection = takeConnection(Command.Upstream);
  Open.emplace(Attempt, open_attempt{Command.Upstream, Connection});
  Connection->exchange(
      toUpstreamRequest(Command, Remaining), Remaining + DeadlineGrace,
      [this, Attempt](exchange_result R) { finish(Attempt, std::move(R)); });
}

void upstreams_thread::carryOut(const cancel_attempt &Command) {
  auto Found = Open.find(Command.Attempt);
  if (Found == Open.end())
    return;
  // Only a spare connection carries a cancellation: a new one would go above
  // this VM's share, and the attempt's deadline ends it anyhow.
  idle_list &Spare = Idle[Found->second.Upstream];
  if (Spare.empty())
    return;
  connection Connection = std::move(Spare.front());
  Spare.pop_front();
  std::string Upstream = Found->second.Upstream;
  Connection->exchange(toCancelRequest(Command.Attempt), CancelTimeout,
                       [this, Upstream, Connection](const exchange_result &) {
                         if (Connection->warm())
                           Idle[Upstream].push_front(Connection);
                       });
}

void upstreams_thread::finish(attempt_id Attempt, exchange_result Result) {
  auto Found = Open.find(Attempt);
  if (Found == Open.end())
    return;
  open_attempt Ended = std::move(Found->second);
  Open.erase(Found);
  if (Ended.Connection->warm())
    Idle[Ended.Upstream].push_front(Ended.Connection);
  if (auto *Response = std::get_if<http_response>(&Result))
    return std::visit([this](auto E) { report(std::move(E)); },
                      fromUpstreamResponse(Attempt, std::move(*Response)));
  const auto &Error = std::get<exchange_error>(Result);
  Counters.get("upstream_connection_errors_total").add();
  if (!Error.MayHaveRun)
    return report(attempt_failed{Attempt, attempt_failure::NotSent});
  if (!Error.Closed)
    return report(attempt_failed{Attempt, attempt_failure::Unknown});
  // An upstream at its limit of connections closes them too; one that died
  // takes no connection.
  checkUpstream(Loop.context(), Ended.Upstream, [this, Attempt](bool Alive) {
    report(attempt_failed{Attempt, attempt_failure::Unknown, !Alive});
  });
}

void upstreams_thread::report(const upstream_event &Event) {
  // The engine never waits for this thread, so its ring drains.
  while (!Engine->push(Event))
    std::this_thread::yield();
}

upstreams_thread::connection
upstreams_thread::takeConnection(const std::string &Upstream) {
  idle_list &Spare = Idle[Upstream];
  if (!Spare.empty()) {
    connection Connection = std::move(Spare.front());
    Spare.pop_front();
    return Connection;
  }
  Counters.get("upstream_connections_total").add();
  return std::make_shared<http_connection>(Loop.context(), Upstream);
}
