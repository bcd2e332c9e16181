#include "masticproxy/src/Net/http_platform.h"

#include "masticproxy/src/Net/bounded_json.h"
#include "masticproxy/src/Net/http_status.h"

using namespace masticproxy;

namespace {

platform_object readObject(const nlohmann::json &Node) {
  platform_object Object;
  Object.Kind = Node.at("kind").get<std::string>();
  Object.Name = Node.at("name").get<std::string>();
  Object.Version = Node.at("version").get<std::uint64_t>();
  Object.Deleted = Node.at("deleted").get<bool>();
  Object.Value = Node.at("value").get<std::string>();
  return Object;
}

std::string objectTarget(std::string_view Kind, std::string_view Name) {
  return "/v1/objects/" + percentEncoded(Kind) + "/" + percentEncoded(Name);
}

/// Runs \p Read, which may throw on an answer of another shape.
template <typename Result, typename Reader> Result guarded(Reader Read) {
  try {
    return Read();
  } catch (const std::exception &Error) {
    return platform_unavailable{std::string("bad answer: ") + Error.what()};
  }
}

platform_unavailable unexpected(const http_response &Response) {
  return {"status " + std::to_string(Response.Status)};
}

} // namespace

http_platform::http_platform(std::string Address,
                             std::chrono::milliseconds CallTimeout,
                             std::stop_token Stop)
    : Caller(std::move(Address), CallTimeout, std::move(Stop)) {}

platform_read_result http_platform::get(std::string_view Kind,
                                        std::string_view Name) {
  auto Answer = call("GET", objectTarget(Kind, Name));
  if (auto *Failure = std::get_if<platform_unavailable>(&Answer))
    return *Failure;
  const auto &Response = std::get<http_response>(Answer);
  if (Response.Status == StatusNotFound)
    return platform_missing{};
  if (Response.Status != StatusOk)
    return unexpected(Response);
  return guarded<platform_read_result>(
      [&] { return readObject(parseBoundedJson(Response.Body)); });
}

platform_write_result http_platform::put(std::string_view Kind,
                                         std::string_view Name,
                                         std::uint64_t IfVersion,
                                         std::string_view Value) {
  return write("PUT", Kind, Name, IfVersion, Value);
}

platform_write_result http_platform::remove(std::string_view Kind,
                                            std::string_view Name,
                                            std::uint64_t IfVersion) {
  return write("DELETE", Kind, Name, IfVersion, {});
}

platform_changes_result http_platform::list(std::string_view Kind) {
  return changes("/v1/objects/" + percentEncoded(Kind),
                 std::chrono::milliseconds(0));
}

platform_changes_result http_platform::watch(std::uint64_t After,
                                             std::chrono::milliseconds Wait) {
  std::string Target = "/v1/watch?after=" + std::to_string(After) +
                       "&wait_ms=" + std::to_string(Wait.count());
  return changes(std::move(Target), Wait);
}

platform_vms_result http_platform::listVms() {
  auto Answer = call("GET", "/v1/vms");
  if (auto *Failure = std::get_if<platform_unavailable>(&Answer))
    return *Failure;
  const auto &Response = std::get<http_response>(Answer);
  if (Response.Status != StatusOk)
    return unexpected(Response);
  return guarded<platform_vms_result>([&] {
    std::vector<platform_vm> Vms;
    for (const nlohmann::json &Node : parseBoundedJson(Response.Body)) {
      platform_vm Vm;
      Vm.Name = Node.at("name").get<std::string>();
      Vm.DataCentre = Node.at("data_centre").get<std::string>();
      Vm.PeerAddress = Node.at("peer_address").get<std::string>();
      Vm.Leaving = Node.at("leaving").get<bool>();
      Vms.push_back(std::move(Vm));
    }
    return Vms;
  });
}

std::variant<http_response, platform_unavailable>
http_platform::call(std::string_view Method, std::string Target,
                    std::string_view Body, std::chrono::milliseconds Wait) {
  http_request Request;
  Request.Method = std::string(Method);
  Request.Target = std::move(Target);
  Request.Body = std::string(Body);
  return Caller.call(std::move(Request), Wait);
}

platform_write_result http_platform::write(std::string_view Method,
                                           std::string_view Kind,
                                           std::string_view Name,
                                           std::uint64_t IfVersion,
                                           std::string_view Value) {
  std::string Target =
      objectTarget(Kind, Name) + "?if_version=" + std::to_string(IfVersion);
  auto Answer = call(Method, std::move(Target), Value);
  if (auto *Failure = std::get_if<platform_unavailable>(&Answer))
    return *Failure;
  const auto &Response = std::get<http_response>(Answer);
  return guarded<platform_write_result>([&]() -> platform_write_result {
    if (Response.Status == StatusOk)
      return readObject(parseBoundedJson(Response.Body));
    if (Response.Status != StatusConflict)
      return unexpected(Response);
    nlohmann::json Current = parseBoundedJson(Response.Body);
    platform_conflict Conflict;
    if (!Current.is_null())
      Conflict.Current = readObject(Current);
    return Conflict;
  });
}

platform_changes_result http_platform::changes(std::string Target,
                                               std::chrono::milliseconds Wait) {
  auto Answer = call("GET", std::move(Target), {}, Wait);
  if (auto *Failure = std::get_if<platform_unavailable>(&Answer))
    return *Failure;
  const auto &Response = std::get<http_response>(Answer);
  if (Response.Status != StatusOk)
    return unexpected(Response);
  return guarded<platform_changes_result>([&] {
    nlohmann::json Root = parseBoundedJson(Response.Body);
    platform_changes Changes;
    Changes.Revision = Root.at("revision").get<std::uint64_t>();
    for (const nlohmann::json &Node : Root.at("objects"))
      Changes.Objects.push_back(readObject(Node));
    return Changes;
  });
}
