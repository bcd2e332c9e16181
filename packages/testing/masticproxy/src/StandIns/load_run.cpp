#include "masticproxy/src/StandIns/load_run.h"

#include "masticproxy/src/Net/http_connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <list>
#include <memory>

using namespace masticproxy;
using std::chrono::steady_clock;

namespace {

/// Sends the requests of one plan; each takes an idle connection or opens one.
class load_generator {
public:
  explicit load_generator(const load_plan &Plan)
      : Plan(Plan), Timer(Context), Idle(Plan.Targets.size()) {}

  load_result run() {
    Start = steady_clock::now();
    Total = static_cast<std::size_t>(
        Plan.Rate * static_cast<double>(Plan.Length.count()) / 1000.0);
    sendDue();
    Context.run();
    return std::move(Result);
  }

private:
  using connection = std::shared_ptr<http_connection>;

  steady_clock::time_point dueTime(std::size_t Number) const {
    return Start + std::chrono::nanoseconds(static_cast<std::int64_t>(
                       static_cast<double>(Number) * 1e9 / Plan.Rate));
  }

  void sendDue() {
    while (Sent < Total && dueTime(Sent) <= steady_clock::now())
      send(Sent++);
    if (Sent == Total)
      return;
    Timer.expires_at(dueTime(Sent));
    Timer.async_wait([this](const boost::system::error_code &) { sendDue(); });
  }

  void send(std::size_t Number) {
    std::size_t Target = Number % Plan.Targets.size();
    connection Connection = take(Target);
    http_request Request;
    Request.Method = "POST";
    Request.Target = "/v1/indexes/" + percentEncoded(Plan.Index) +
                     "/query?profile=" + percentEncoded(Plan.Profile);
    Request.Body = Plan.Body;
    steady_clock::time_point Due = dueTime(Number);
    Connection->exchange(
        std::move(Request), Plan.Timeout,
        [this, Due, Target, Connection](const exchange_result &R) {
          record(Due, R);
          if (Connection->warm())
            Idle[Target].push_back(Connection);
          finishIfDone();
        });
  }

  connection take(std::size_t Target) {
    if (Idle[Target].empty())
      return std::make_shared<http_connection>(Context, Plan.Targets[Target]);
    connection Connection = std::move(Idle[Target].back());
    Idle[Target].pop_back();
    return Connection;
  }

  void record(steady_clock::time_point Due, const exchange_result &R) {
    auto Latency = std::chrono::duration_cast<std::chrono::microseconds>(
        steady_clock::now() - Due);
    Result.Latencies.push_back(Latency.count());
    auto *Response = std::get_if<http_response>(&R);
    if (!Response) {
      ++Result.Codes["connection_error"];
      return;
    }
    nlohmann::json Root = nlohmann::json::parse(Response->Body, nullptr, false);
    std::string Code = Root.is_object() ? Root.value("code", "none") : "none";
    ++Result.Codes[Code];
    if (Code == "answered")
      Result.CoverageSum += Root["coverage"]["share"].get<double>();
  }

  void finishIfDone() {
    if (Result.Latencies.size() == Total)
      Idle.clear();
  }

  const load_plan &Plan;
  boost::asio::io_context Context;
  boost::asio::steady_timer Timer;
  std::vector<std::list<connection>> Idle;
  load_result Result;
  steady_clock::time_point Start;
  std::size_t Total = 0;
  std::size_t Sent = 0;
};

double quantileMs(const std::vector<std::int64_t> &Sorted, double Share) {
  if (Sorted.empty())
    return 0;
  auto Rank = static_cast<std::size_t>(
      std::ceil(Share * static_cast<double>(Sorted.size())));
  std::size_t Position = Rank == 0 ? 0 : Rank - 1;
  return static_cast<double>(Sorted[Position]) / 1000.0;
}

} // namespace

load_result masticproxy::runLoad(const load_plan &Plan) {
  return load_generator(Plan).run();
}

std::string masticproxy::toJson(const load_plan &Plan,
                                const load_result &Result) {
  std::vector<std::int64_t> Sorted = Result.Latencies;
  std::sort(Sorted.begin(), Sorted.end());
  auto Found = Result.Codes.find("answered");
  std::uint64_t Answered = Found == Result.Codes.end() ? 0 : Found->second;
  double Coverage =
      Answered == 0 ? 0 : Result.CoverageSum / static_cast<double>(Answered);
  nlohmann::json Root = {{"rate_per_s", Plan.Rate},
                         {"requests", Sorted.size()},
                         {"codes", Result.Codes},
                         {"mean_coverage", Coverage},
                         {"p50_ms", quantileMs(Sorted, 0.50)},
                         {"p99_ms", quantileMs(Sorted, 0.99)},
                         {"p999_ms", quantileMs(Sorted, 0.999)},
                         {"max_ms", quantileMs(Sorted, 1.0)}};
  if (Plan.Samples)
    Root["latencies_us"] = Result.Latencies;
  return Root.dump(2) + "\n";
}
