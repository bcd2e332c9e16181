#include "masticproxy/src/StandIns/load_run.h"

#include "masticproxy/src/Net/http_connection.h"

#include <nlohmann/json.hpp>

#include <list>
#include <memory>

using namespace masticproxy;

namespace {

/// Sends the requests of one plan; each takes an idle connection or opens one.
class load_generator {
public:
  explicit load_generator(const load_plan &Plan)
      : Plan(Plan), Loop(Plan.Loop), Idle(Plan.Targets.size()) {}

  load_result run() {
    return Loop.run([this](std::size_t Number) { send(Number); });
  }

private:
  using connection = std::shared_ptr<http_connection>;

  void send(std::size_t Number) {
    std::size_t Target = Number % Plan.Targets.size();
    connection Connection = take(Target);
    http_request Request;
    Request.Method = "POST";
    Request.Target = "/v1/indexes/" + percentEncoded(Plan.Index) +
                     "/query?profile=" + percentEncoded(Plan.Profile);
    Request.Body = Plan.Body;
    Connection->exchange(
        std::move(Request), Plan.Loop.Timeout,
        [this, Number, Target, Connection](const exchange_result &R) {
          if (Connection->warm())
            Idle[Target].push_back(Connection);
          record(Number, R);
        });
  }

  connection take(std::size_t Target) {
    if (Idle[Target].empty())
      return std::make_shared<http_connection>(Loop.context(),
                                               Plan.Targets[Target]);
    connection Connection = std::move(Idle[Target].back());
    Idle[Target].pop_back();
    return Connection;
  }

  void record(std::size_t Number, const exchange_result &R) {
    auto *Response = std::get_if<http_response>(&R);
    if (!Response)
      return Loop.finish(Number, "connection_error", 0);
    nlohmann::json Root = nlohmann::json::parse(Response->Body, nullptr, false);
    std::string Code = Root.is_object() ? Root.value("code", "none") : "none";
    double Coverage =
        Code == "answered" ? Root["coverage"]["share"].get<double>() : 0.0;
    Loop.finish(Number, Code, Coverage);
  }

  const load_plan &Plan;
  open_loop Loop;
  std::vector<std::list<connection>> Idle;
};

} // namespace

load_result masticproxy::runLoad(const load_plan &Plan) {
  return load_generator(Plan).run();
}
