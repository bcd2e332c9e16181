#include "masticproxy/src/Daemon/relay_link.h"

#include "masticproxy/src/Base/counter_registry.h"
#include "masticproxy/src/Daemon/relay_connection.h"
#include "masticproxy/src/Net/event_log.h"
#include "masticproxy/src/Net/tcp_address.h"

#include <stdexcept>
#include <vector>

using namespace masticproxy;
using namespace masticproxy::internal;
using std::chrono::milliseconds;

namespace {

/// Silence after which the other VM is asked for a sign of life.
constexpr milliseconds PingAfter{150};

/// How long the other VM may take to accept a connection or to give one.
constexpr milliseconds SilenceLimit{500};

/// How long after its deadline an attempt is given up; until then the other
/// VM can still say what became of it.
constexpr milliseconds DeadlineGrace{50};

/// How long a connection is kept without attempts.
constexpr std::chrono::seconds IdleTime{30};

/// Longest body that fits into a frame with its envelope.
constexpr std::size_t MaxBodyBytes = MaxFrameBytes - 65536;

} // namespace

relay_link::relay_link(relay_links &Links, std::string PeerAddress)
    : Links(Links), PeerAddress(std::move(PeerAddress)),
      LastUsed(Links.Clock.now()) {}

relay_link::~relay_link() {
  if (Connection)
    Connection->close();
}

void relay_link::send(const send_relay &Command) {
  LastUsed = Links.Clock.now();
  attempt_id Attempt = Command.Request.Attempt;
  Open.emplace(Attempt,
               open_attempt{Command.Request.RequestId, Command.Deadline});
  if (Command.Request.Body->size() > MaxBodyBytes)
    return fail(Attempt, relay_end::NotSent);
  if (!Connection)
    connect();
  if (!Connection || !Connection->send(Command.Request))
    fail(Attempt, relay_end::NotSent);
}

void relay_link::cancel(attempt_id Attempt) {
  auto Found = Open.find(Attempt);
  if (Found == Open.end())
    return;
  if (!Found->second.Written)
    return fail(Attempt, relay_end::NotSent);
  // A lost cancellation costs work, not truth: the deadline ends the attempt.
  if (Connection)
    Connection->send(relay_cancel{Links.Origin, Links.Incarnation, Attempt});
}

void relay_link::tick() {
  endOverdue();
  if (Connection && !Open.empty())
    checkSilence();
}

bool relay_link::idle() const {
  return Open.empty() && Links.Clock.now() - LastUsed > IdleTime;
}

void relay_link::connect() {
  boost::asio::ip::tcp::endpoint Endpoint;
  try {
    Endpoint = parseTcpAddress(PeerAddress);
  } catch (const std::exception &) {
    Links.Counters.get("relay_bad_addresses_total").add();
    return;
  }
  Links.Counters.get("relay_connections_total").add();
  relay_connection::handlers Handlers;
  Handlers.Receive = [this](relay_message M) { receive(std::move(M)); };
  Handlers.BeforeWrite = [this](relay_message &M) { return beforeWrite(M); };
  Handlers.Lost = [this] { loseAll(relay_end::ConnectionLost); };
  Connection = std::make_shared<relay_connection>(
      boost::asio::ip::tcp::socket(Links.Context), Links.Timeline,
      Links.Counters, std::move(Handlers));
  LastHeard = Links.Clock.now();
  Pinged = false;
  Connection->connect(Endpoint);
}

void relay_link::receive(relay_message Message) {
  LastHeard = Links.Clock.now();
  Pinged = false;
  if (auto *Result = std::get_if<relay_result>(&Message))
    answer(*Result);
  else if (auto *Refusal = std::get_if<relay_refusal>(&Message))
    fail(Refusal->Attempt, endOf(Refusal->Reason));
  else if (auto *Unknown = std::get_if<relay_unknown>(&Message))
    fail(Unknown->Attempt, relay_end::Unknown);
}

bool relay_link::beforeWrite(relay_message &Message) {
  auto *Request = std::get_if<relay_request>(&Message);
  if (!Request)
    return true;
  auto Found = Open.find(Request->Attempt);
  if (Found == Open.end())
    return false;
  Request->Origin = Links.Origin;
  Request->Incarnation = Links.Incarnation;
  Request->Remaining = std::chrono::duration_cast<std::chrono::microseconds>(
      Found->second.Deadline - Links.Clock.now());
  if (Request->Remaining.count() <= 0) {
    fail(Request->Attempt, relay_end::NotSent);
    return false;
  }
  Found->second.Written = true;
  return true;
}

void relay_link::answer(const relay_result &Message) {
  auto Found = Open.find(Message.Attempt);
  if (Found == Open.end())
    return;
  Links.Events.add("relay_result", Found->second.RequestId,
                   Message.Result.Shard + " from " + PeerAddress);
  Open.erase(Found);
  Links.Report(attempt_answered{Message.Attempt, Message.Result});
}

void relay_link::fail(attempt_id Attempt, relay_end End) {
  auto Found = Open.find(Attempt);
  if (Found == Open.end())
    return;
  std::string Text(toString(End));
  Links.Counters.get("relay_failed_total", "end=\"" + Text + "\"").add();
  Links.Events.add("relay_failed", Found->second.RequestId,
                   Text + " at " + PeerAddress);
  Open.erase(Found);
  Links.Report(relay_failed{Attempt, End});
}

void relay_link::loseAll(relay_end Written) {
  Connection = nullptr;
  while (!Open.empty()) {
    auto [Attempt, State] = *Open.begin();
    fail(Attempt, State.Written ? Written : relay_end::NotSent);
  }
}

void relay_link::endOverdue() {
  time_point Now = Links.Clock.now();
  std::vector<attempt_id> Overdue;
  for (const auto &[Attempt, State] : Open)
    if (Now >= State.Deadline + DeadlineGrace)
      Overdue.push_back(Attempt);
  for (attempt_id Attempt : Overdue)
    fail(Attempt,
         Open.at(Attempt).Written ? relay_end::Unknown : relay_end::NotSent);
}

void relay_link::checkSilence() {
  time_point Now = Links.Clock.now();
  bool WaitsForSign = Pinged || !Connection->connected();
  time_point Since = Pinged ? PingedAt : LastHeard;
  if (WaitsForSign && Now - Since >= SilenceLimit) {
    Connection->close();
    return loseAll(relay_end::Silent);
  }
  if (WaitsForSign || Now - LastHeard < PingAfter)
    return;
  Pinged = Connection->send(relay_ping{});
  PingedAt = Now;
}
