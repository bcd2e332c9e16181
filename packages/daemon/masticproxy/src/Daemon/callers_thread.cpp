#include "masticproxy/src/Daemon/callers_thread.h"

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Base/counter_registry.h"
#include "masticproxy/src/Daemon/descriptor_limit.h"
#include "masticproxy/src/Daemon/effect_log.h"
#include "masticproxy/src/Daemon/forwarding.h"
#include "masticproxy/src/Daemon/outcome_response.h"
#include "masticproxy/src/Daemon/query_request.h"
#include "masticproxy/src/Daemon/timeline_line.h"
#include "masticproxy/src/Net/connection_memory.h"
#include "masticproxy/src/Net/event_log.h"
#include "masticproxy/src/Net/http_status.h"
#include "masticproxy/src/Settings/node_settings.h"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <nlohmann/json.hpp>

#include <charconv>

using namespace masticproxy;

namespace {

/// Layout of a UUID of version 7: milliseconds since 1970 in the leading
/// bytes, then the version in the upper half of the next byte.
constexpr std::size_t UuidTimeBytes = 6;
constexpr unsigned BitsInByte = 8;
constexpr std::uint8_t UuidVersion7 = 0x70;
constexpr std::uint8_t LowNibble = 0x0f;

/// Longest header that is read while there is no configuration.
constexpr std::size_t UnconfiguredHeaderBytes = 65536;

/// How much longer an idle connection is kept than callers were told.
constexpr std::chrono::seconds IdleMargin{5};

http_response plainText(std::string Body) {
  http_response Response;
  Response.Headers.emplace_back("content-type", "text/plain; version=0.0.4");
  Response.Body = std::move(Body);
  return Response;
}

http_response jsonText(std::string Body) {
  http_response Response;
  Response.Headers.emplace_back("content-type", "application/json");
  Response.Body = std::move(Body);
  return Response;
}

http_response methodNotAllowed(std::string_view Allowed) {
  http_response Response =
      errorResponse(StatusMethodNotAllowed, "method_not_allowed",
                    "this page takes " + std::string(Allowed) + " only", "");
  Response.Headers.emplace_back("allow", std::string(Allowed));
  return Response;
}

} // namespace

callers_thread::callers_thread(loop_thread &Loop, const node_settings &Settings,
                               const clock &Clock, counter_registry &Counters,
                               event_log &Events,
                               const published<node_status> &Status,
                               const effect_log &Effects,
                               const forwarding_names &Names)
    : Settings(Settings), Clock(Clock), Counters(Counters), Events(Events),
      Status(Status), Effects(Effects), Names(Names), Loop(Loop),
      Outcomes(
          RequestRingCapacity,
          [this] { this->Loop.dispatch([this] { drainOutcomes(); }); },
          [this] {
            if (this->Loop.isCurrent())
              return drainOutcomes();
            std::this_thread::yield();
          }) {}

callers_thread::~callers_thread() { stop(); }

void callers_thread::start() {
  http_server_limits Limits;
  Limits.BodyBytes = Settings.BodyBytes;
  Limits.HeldBytes = Settings.RequestBytes;
  Limits.Memory =
      std::make_shared<connection_memory>(Settings.RequestBytes, [this] {
        Counters.get("callers_closed_for_memory_total").add();
      });
  Limits.Connections =
      callerConnectionsFor(descriptorLimit(), Settings.CallerConnections);
  Server = std::make_unique<http_server>(
      Loop.context(), Settings.CallersAddress, Limits,
      [this](http_request Request, const http_server::responder &Respond) {
        if (Settings.ForwardCallers)
          forward(std::move(Request), Respond);
        else
          handle(std::move(Request), Respond);
      });
  if (Settings.ForwardCallers)
    Server->onLimits([this](http_server_limits &L) { renewLimits(L); });
  Server->onCallerGone([this](query_ticket Ticket) { onCallerGone(Ticket); });
  http_server_limits PageLimits;
  PageLimits.Memory = Limits.Memory;
  if (!Settings.PagesAddress.empty())
    Pages = std::make_unique<http_server>(
        Loop.context(), Settings.PagesAddress, PageLimits,
        [this](const http_request &Request,
               const http_server::responder &Respond) {
          Respond(handleRead(Request));
        });
}

void callers_thread::stop() {
  Loop.stop();
  Pending.clear();
  Server.reset();
  Pages.reset();
}

void callers_thread::stopBeingReady() {
  Ready.store(false);
  Loop.call([this] { Server->endConnectionsAfterResponse(); });
}

void callers_thread::stopAccepting() {
  Loop.call([this] { Server->stopAccepting(); });
}

std::size_t callers_thread::connections() {
  std::size_t Count = 0;
  Loop.call([&] { Count = Server->connections(); });
  return Count;
}

void callers_thread::handle(http_request Request,
                            const http_server::responder &Respond) {
  if (!isQueryTarget(Request.Target))
    return Respond(handleRead(Request));
  if (Request.Method != "POST")
    return Respond(methodNotAllowed("POST"));
  handleQuery(std::move(Request), Respond);
}

void callers_thread::handleQuery(http_request Request,
                                 const http_server::responder &Respond) {
  query_ticket Serial = Request.Serial;
  std::string RequestId(findHeader(Request.Headers, "x-request-id"));
  if (RequestId.empty())
    RequestId = newRequestId();
  auto Read = readQueryRequest(std::move(Request), RequestId);
  if (auto *Rejection = std::get_if<http_response>(&Read))
    return Respond(std::move(*Rejection));
  if (!configured())
    return Respond(toCallerResponse(RequestId, not_run{whyNotConfigured()}));
  auto &Query = std::get<query_arrived>(Read);
  Query.Ticket = Serial;
  if (!submit(std::move(Query), {Respond, /*Forwarded=*/false}))
    Respond(toCallerResponse(RequestId, not_run{"this VM is overloaded"}));
}

void callers_thread::forward(http_request Request,
                             const http_server::responder &Respond) {
  query_ticket Ticket = Request.Serial;
  query_arrived Query = toForwardedQuery(std::move(Request), Names);
  Query.Ticket = Ticket;
  if (Query.RequestId.empty())
    Query.RequestId = newRequestId();
  std::string RequestId = Query.RequestId;
  if (!configured())
    return Respond(
        toForwardedResponse(RequestId, not_run{whyNotConfigured()}, Names));
  if (!submit(std::move(Query), {Respond, /*Forwarded=*/true}))
    Respond(toForwardedResponse(RequestId, not_run{"this VM is overloaded"},
                                Names));
}

bool callers_thread::submit(query_arrived Query, pending_request Request) {
  query_ticket Ticket = Query.Ticket;
  Pending.emplace(Ticket, std::move(Request));
  if (Engine->push(std::move(Query)))
    return true;
  Pending.erase(Ticket);
  Counters.get("query_ring_full_total").add();
  return false;
}

void callers_thread::onCallerGone(query_ticket Ticket) {
  if (Pending.erase(Ticket) == 0)
    return;
  Counters.get("callers_gone_total").add();
  if (!Engine->push(caller_left{Ticket}))
    Counters.get("query_ring_full_total").add();
}

void callers_thread::renewLimits(http_server_limits &Limits) const {
  if (!configured()) {
    // What the operator allows is not known: each request is refused as not
    // run, which a limit must not get in the way of.
    Limits.HeaderBytes = UnconfiguredHeaderBytes;
    Limits.BodyBytes = Limits.HeldBytes;
    return;
  }
  const caller_limits Told = Status.get()->CallerLimits;
  Limits.HeaderBytes = Told.HeaderBytes;
  Limits.BodyBytes = Told.BodyBytes;
  Limits.HeaderTimeout = Told.HeaderTimeout;
  // A caller must never find a connection closed that it may still use.
  Limits.IdleTimeout = Told.IdleTimeout + IdleMargin;
}

http_response callers_thread::handleRead(const http_request &Request) const {
  http_response Response = readPage(Request);
  bool Known = Response.Status != StatusNotFound;
  if (Known && Request.Method != "GET")
    return methodNotAllowed("GET");
  return Response;
}

http_response callers_thread::readPage(const http_request &Request) const {
  std::string_view Path = targetPath(Request.Target);
  if (Path == "/healthz")
    return plainText("ok\n");
  if (Path == "/readyz")
    return ready();
  if (Path == "/metrics")
    return plainText(Counters.prometheusText());
  if (Path == "/v1/timeline")
    return timeline(Request);
  if (Path == "/v1/effects")
    return jsonText(Effects.toJson(targetParameter(Request.Target, "profile")));
  if (Path == "/v1/status") {
    std::shared_ptr<const node_status> Newest = Status.get();
    return jsonText(toJson(Newest ? *Newest : node_status{}));
  }
  return errorResponse(StatusNotFound, "not_found", "no such page", "");
}

bool callers_thread::configured() const {
  std::shared_ptr<const node_status> Newest = Status.get();
  return Newest && Newest->ConfigurationRevision > 0;
}

std::string callers_thread::whyNotConfigured() const {
  std::shared_ptr<const node_status> Newest = Status.get();
  bool Reachable = Newest && Newest->PlatformReachable;
  return Reachable ? "no configuration yet: the platform holds none"
                   : "no configuration yet: the platform is unreachable and no "
                     "peer has sent one";
}

http_response callers_thread::ready() const {
  std::shared_ptr<const node_status> Newest = Status.get();
  std::string Reason;
  if (!Ready.load())
    Reason = "leaving\n";
  else if (!configured())
    Reason = whyNotConfigured() + "\n";
  else if (CutOff())
    // Another data centre's VMs can serve what this one can't.
    Reason = "cut off from the upstreams of the other data centres\n";
  else if (Server->full())
    Reason = "no connection is left for callers\n";
  else if (!Newest->SharesSettled)
    Reason = "no share of the upstreams' connections yet\n";
  else
    return plainText("ready\n");
  http_response Response = plainText(std::move(Reason));
  Response.Status = StatusUnavailable;
  return Response;
}

http_response callers_thread::timeline(const http_request &Request) const {
  std::string From = targetParameter(Request.Target, "from");
  if (From.empty())
    From = "0";
  std::int64_t Microseconds = 0;
  const char *End = From.data() + From.size();
  auto [Stop, Error] = std::from_chars(From.data(), End, Microseconds);
  if (Error != std::errc() || Stop != End)
    return errorResponse(StatusBadRequest, "bad_request",
                         "from needs microseconds since 1970", "");
  std::string Lines;
  for (const timeline_event &Event :
       Events.events(targetParameter(Request.Target, "request"),
                     std::chrono::microseconds(Microseconds)))
    Lines += timelineLine(Event, Settings.Name);
  return jsonText(std::move(Lines));
}

void callers_thread::drainOutcomes() {
  Outcomes.drain([this](deliver_outcome O) { deliver(std::move(O)); });
}

void callers_thread::deliver(deliver_outcome Outcome) {
  auto Found = Pending.find(Outcome.Ticket);
  if (Found == Pending.end())
    return;
  pending_request Request = std::move(Found->second);
  Pending.erase(Found);
  if (!Request.Forwarded)
    return Request.Respond(
        toCallerResponse(Outcome.RequestId, std::move(Outcome.Outcome)));
  http_response Response =
      toForwardedResponse(Outcome.RequestId, std::move(Outcome.Outcome), Names);
  // Its next connection goes to a VM that is not cut off.
  Response.Close = Response.Close || CutOff();
  Request.Respond(std::move(Response));
}

std::string callers_thread::newRequestId() {
  thread_local boost::uuids::random_generator Generate;
  boost::uuids::uuid Id = Generate();
  auto Milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(Clock.wallTime());
  auto Time = static_cast<std::uint64_t>(Milliseconds.count());
  for (std::size_t I = 0; I < UuidTimeBytes; ++I)
    Id.data[I] = static_cast<std::uint8_t>(
        Time >> (BitsInByte * (UuidTimeBytes - 1 - I)));
  Id.data[UuidTimeBytes] = UuidVersion7 | (Id.data[UuidTimeBytes] & LowNibble);
  return boost::uuids::to_string(Id);
}
