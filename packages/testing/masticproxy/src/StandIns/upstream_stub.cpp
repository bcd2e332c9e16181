#include "masticproxy/src/StandIns/upstream_stub.h"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

using namespace masticproxy;
using std::chrono::steady_clock;

namespace {

std::string header(const http_request &Request, std::string_view Name) {
  return std::string(findHeader(Request.Headers, Name));
}

/// A response that says truthfully that the request was not run.
http_response notRun(const http_request &Request, unsigned Status,
                     std::string_view Reason) {
  http_response Response;
  Response.Status = Status;
  Response.Headers = {{"x-request-id", header(Request, "x-request-id")},
                      {"x-not-run", std::string(Reason)}};
  return Response;
}

http_response cancelledWhileRunning() {
  http_response Response;
  Response.Status = 499;
  return Response;
}

template <typename T>
void readNumber(const nlohmann::json &Root, const char *Key, T &Into) {
  if (Root.contains(Key))
    Into = Root.at(Key).get<T>();
}

template <typename Span>
void readSpan(const nlohmann::json &Root, const char *Key, Span &Into) {
  if (Root.contains(Key))
    Into = Span(Root.at(Key).get<std::int64_t>());
}

} // namespace

upstream_stub::upstream_stub(boost::asio::io_context &Context,
                             std::string Address, upstream_shape Shape,
                             unsigned Seed)
    : Context(Context), Address(std::move(Address)), Shape(std::move(Shape)),
      Random(Seed), RestartTimer(Context) {
  listen();
}

upstream_stub::~upstream_stub() = default;

void upstream_stub::listen() {
  http_server_limits Limits;
  Limits.Connections = Shape.Connections;
  Limits.SetupDelay = Shape.SetupDelay;
  Server = std::make_unique<http_server>(
      Context, Address, Limits,
      [this](http_request Request, http_server::responder Respond) {
        handle(std::move(Request), std::move(Respond));
      });
  ColdUntil = steady_clock::now() + Shape.ColdTime;
}

void upstream_stub::handle(http_request Request,
                           http_server::responder Respond) {
  std::string_view Path = targetPath(Request.Target);
  if (Path == "/v1/query")
    return query(std::move(Request), std::move(Respond));
  if (Path == "/v1/cancel")
    return cancel(Request, Respond);
  if (Path == "/v1/load")
    return Respond(load());
  try {
    Respond(stub(Request));
  } catch (const nlohmann::json::exception &Error) {
    http_response Response;
    Response.Status = 400;
    Response.Body = Error.what();
    Respond(std::move(Response));
  }
}

void upstream_stub::query(http_request Request,
                          http_server::responder Respond) {
  PeakConnections = std::max(PeakConnections, Server->connections());
  if (Shape.Draining) {
    ++QueriesWhileDraining;
    return Respond(notRun(Request, 503, "draining"));
  }
  bool Held = Shape.Snapshots.empty() ||
              Shape.Snapshots.count(header(Request, "x-snapshot")) > 0;
  if (!Held)
    return Respond(notRun(Request, 410, "snapshot_gone"));
  if (Running.size() >= Shape.Slots && Queued.size() >= Shape.Queue) {
    ++Refused;
    return Respond(notRun(Request, 503, "overload"));
  }
  job Job;
  Job.Attempt = header(Request, "x-attempt");
  std::string Limit = header(Request, "x-deadline-ms");
  std::chrono::milliseconds Left(Limit.empty() ? 60000 : std::stoll(Limit));
  Job.Deadline = steady_clock::now() + Left;
  Job.Request = std::move(Request);
  Job.Respond = std::move(Respond);
  Queued.push_back(std::move(Job));
  startNext();
}

void upstream_stub::cancel(const http_request &Request,
                           const http_server::responder &Respond) {
  std::string Attempt = header(Request, "x-attempt");
  auto IsIt = [&](const job &Job) { return Job.Attempt == Attempt; };
  auto InQueue = std::find_if(Queued.begin(), Queued.end(), IsIt);
  auto InSlot = std::find_if(Running.begin(), Running.end(), IsIt);
  Respond(http_response{});
  if (InQueue != Queued.end()) {
    ++Cancelled;
    InQueue->Respond(notRun(InQueue->Request, 499, "cancelled"));
    Queued.erase(InQueue);
  } else if (InSlot != Running.end()) {
    ++Cancelled;
    InSlot->Timer->cancel();
    InSlot->Respond(cancelledWhileRunning());
    Running.erase(InSlot);
    startNext();
  }
}

void upstream_stub::startNext() {
  while (Running.size() < Shape.Slots && !Queued.empty()) {
    job Next = std::move(Queued.front());
    Queued.pop_front();
    if (Next.Deadline <= steady_clock::now())
      Next.Respond(notRun(Next.Request, 503, "deadline"));
    else
      run(std::move(Next));
  }
}

void upstream_stub::run(job Job) {
  ++Runs[header(Job.Request, "x-request-id")];
  bool Poison = Job.Request.Body.find(PoisonMark) != std::string::npos;
  auto Timer = std::make_shared<boost::asio::steady_timer>(Context);
  Timer->expires_after(serviceTime());
  Job.Timer = Timer;
  Running.push_back(std::move(Job));
  Timer->async_wait([this, Poison, Timer](const boost::system::error_code &) {
    // A timer that had expired before it was cancelled still comes here
    // without an error, so the job itself has to be looked for.
    auto Position =
        std::find_if(Running.begin(), Running.end(),
                     [&](const job &Other) { return Other.Timer == Timer; });
    if (Position == Running.end())
      return;
    if (Poison)
      die();
    else
      finish(Position);
  });
}

void upstream_stub::finish(job_list::iterator Job) {
  ++Served;
  http_response Response;
  Response.Headers = {{"content-type", "application/json"},
                      {"x-request-id", header(Job->Request, "x-request-id")},
                      {"x-snapshot", header(Job->Request, "x-snapshot")},
                      {"x-shard", header(Job->Request, "x-shard")}};
  nlohmann::json Hits = nlohmann::json::array();
  for (unsigned I = 0; I < Shape.Hits; ++I)
    Hits.push_back(header(Job->Request, "x-shard") + "-" + std::to_string(I));
  Response.Body =
      nlohmann::json({{"hits", Hits},
                      {"shard", header(Job->Request, "x-shard")},
                      {"snapshot", Shape.ResultsOf.empty()
                                       ? header(Job->Request, "x-snapshot")
                                       : Shape.ResultsOf}})
          .dump();
  Job->Respond(std::move(Response));
  Running.erase(Job);
  startNext();
}

void upstream_stub::die() {
  ++Deaths;
  for (job &Job : Running)
    Job.Timer->cancel();
  Running.clear();
  Queued.clear();
  Server.reset();
  RestartTimer.expires_after(Shape.RestartDelay);
  RestartTimer.async_wait([this](const boost::system::error_code &Error) {
    if (!Error && !Shape.Down)
      listen();
  });
}

std::chrono::microseconds upstream_stub::serviceTime() {
  std::exponential_distribution<double> Exponential(1.0);
  std::uniform_real_distribution<double> Uniform(0.0, 1.0);
  double Factor = Exponential(Random);
  if (Uniform(Random) < Shape.StragglerShare)
    Factor *= Shape.StragglerFactor;
  if (steady_clock::now() < ColdUntil)
    Factor *= Shape.ColdFactor;
  return std::chrono::microseconds(static_cast<std::int64_t>(
      static_cast<double>(Shape.ServiceTime.count()) * Factor));
}

http_response upstream_stub::stub(const http_request &Request) {
  std::string_view Path = targetPath(Request.Target);
  http_response Response;
  if (Path == "/stub/faults") {
    nlohmann::json Root = nlohmann::json::parse(Request.Body);
    readNumber(Root, "straggler_share", Shape.StragglerShare);
    readNumber(Root, "straggler_factor", Shape.StragglerFactor);
    readNumber(Root, "draining", Shape.Draining);
    readNumber(Root, "slots", Shape.Slots);
    readNumber(Root, "queue", Shape.Queue);
    readNumber(Root, "snapshots", Shape.Snapshots);
    readNumber(Root, "results_of", Shape.ResultsOf);
    readSpan(Root, "service_us", Shape.ServiceTime);
    readSpan(Root, "restart_ms", Shape.RestartDelay);
    readSpan(Root, "cold_ms", Shape.ColdTime);
    if (Root.value("die", false))
      boost::asio::post(Context, [this] { die(); });
  } else if (Path == "/stub/runs") {
    Response.Body = nlohmann::json(Runs).dump();
  } else if (Path != "/stub/counts") {
    Response.Status = 404;
  }
  if (Response.Body.empty())
    Response.Body =
        nlohmann::json({{"served", Served},
                        {"refused", Refused},
                        {"cancelled", Cancelled},
                        {"deaths", Deaths},
                        {"peak_connections", PeakConnections},
                        {"queries_while_draining", QueriesWhileDraining}})
            .dump();
  return Response;
}

http_response upstream_stub::load() const {
  http_response Response;
  Response.Body = nlohmann::json({{"running", Running.size()},
                                  {"queued", Queued.size()},
                                  {"draining", Shape.Draining}})
                      .dump();
  return Response;
}
