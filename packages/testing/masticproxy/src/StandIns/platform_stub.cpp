#include "masticproxy/src/StandIns/platform_stub.h"

#include <nlohmann/json.hpp>

#include <algorithm>

using namespace masticproxy;

namespace {

constexpr std::string_view ObjectsPrefix = "/v1/objects/";
constexpr std::size_t MaxValueBytes = 1U << 20U;

nlohmann::json objectJson(const platform_object &Object) {
  return {{"kind", Object.Kind},
          {"name", Object.Name},
          {"version", Object.Version},
          {"deleted", Object.Deleted},
          {"value", Object.Value}};
}

http_response jsonResponse(unsigned Status, const nlohmann::json &Root) {
  http_response Response;
  Response.Status = Status;
  Response.Headers.emplace_back("content-type", "application/json");
  Response.Body = Root.dump();
  return Response;
}

http_response changesResponse(const platform_changes &Changes) {
  nlohmann::json Objects = nlohmann::json::array();
  for (const platform_object &Object : Changes.Objects)
    Objects.push_back(objectJson(Object));
  return jsonResponse(200,
                      {{"revision", Changes.Revision}, {"objects", Objects}});
}

std::uint64_t numberParameter(const http_request &Request,
                              std::string_view Key) {
  std::string Text = targetParameter(Request.Target, Key);
  return Text.empty() ? 0 : std::stoull(Text);
}

http_response writeResponse(const platform_write_result &Result) {
  if (auto *Written = std::get_if<platform_object>(&Result))
    return jsonResponse(200, objectJson(*Written));
  const auto &Conflict = std::get<platform_conflict>(Result);
  return jsonResponse(409, Conflict.Current ? objectJson(*Conflict.Current)
                                            : nlohmann::json());
}

/// A response that closes the connection without a word that clients accept.
http_response lostAnswer() {
  http_response Response;
  Response.Status = 599;
  Response.Close = true;
  return Response;
}

http_server_limits limits() {
  http_server_limits Limits;
  Limits.BodyBytes = MaxValueBytes;
  return Limits;
}

} // namespace

platform_stub::platform_stub(boost::asio::io_context &Context,
                             std::string_view Address)
    : Context(Context),
      Server(Context, Address, limits(),
             [this](http_request Request, http_server::responder Respond) {
               handle(std::move(Request), std::move(Respond));
             }) {}

void platform_stub::handle(http_request Request,
                           http_server::responder Respond) {
  if (Request.Target.starts_with("/stub/"))
    return handleStub(Request, Respond);
  ++Calls[Request.Method];
  if (Faults.Down)
    return Respond(lostAnswer());
  if (Faults.Delay.count() == 0)
    return serve(Request, std::move(Respond));
  auto Timer = std::make_shared<boost::asio::steady_timer>(Context);
  Timer->expires_after(Faults.Delay);
  Timer->async_wait(
      [this, Timer, Request = std::move(Request), Respond = std::move(Respond)](
          const boost::system::error_code &Error) mutable {
        if (!Error)
          serve(Request, std::move(Respond));
      });
}

void platform_stub::handleStub(const http_request &Request,
                               const http_server::responder &Respond) {
  std::string_view Path = targetPath(Request.Target);
  try {
    if (Path == "/stub/faults")
      readFaults(Request.Body);
    else if (Path == "/stub/vms")
      Vms = nlohmann::json::parse(Request.Body).dump();
    else if (Path != "/stub/counts")
      return Respond(jsonResponse(404, {{"code", "not_found"}}));
  } catch (const nlohmann::json::exception &Error) {
    return Respond(jsonResponse(400, {{"message", Error.what()}}));
  }
  Respond(jsonResponse(200, {{"calls", Calls}, {"watching", Watchers.size()}}));
}

void platform_stub::serve(const http_request &Request,
                          http_server::responder Respond) {
  std::string_view Path = targetPath(Request.Target);
  try {
    if (Path == "/v1/vms")
      return Respond(jsonResponse(200, nlohmann::json::parse(Vms)));
    if (Path == "/v1/watch")
      return watch(Request, std::move(Respond));
  } catch (const std::logic_error &) {
    return Respond(jsonResponse(400, {{"code", "bad_request"}}));
  }
  if (!Path.starts_with(ObjectsPrefix))
    return Respond(jsonResponse(404, {{"code", "not_found"}}));
  Path.remove_prefix(ObjectsPrefix.size());
  std::size_t Slash = Path.find('/');
  std::string Kind = percentDecoded(Path.substr(0, Slash));
  if (Slash == std::string_view::npos)
    return Respond(changesResponse(Store.changesAfter(0, Kind)));
  std::string Name = percentDecoded(Path.substr(Slash + 1));
  Respond(serveObject(Request, Kind, Name));
}

http_response platform_stub::serveObject(const http_request &Request,
                                         std::string_view Kind,
                                         std::string_view Name) {
  if (Request.Method == "GET") {
    bool Stale = Faults.StaleReads > 0;
    if (Stale)
      --Faults.StaleReads;
    const platform_object *Object =
        (Stale ? StaleStore : Store).get(Kind, Name);
    return Object ? jsonResponse(200, objectJson(*Object))
                  : jsonResponse(404, {{"code", "not_found"}});
  }
  std::uint64_t IfVersion = 0;
  try {
    IfVersion = numberParameter(Request, "if_version");
  } catch (const std::logic_error &) {
    return jsonResponse(400, {{"code", "bad_request"}});
  }
  platform_write_result Result =
      Request.Method == "DELETE"
          ? Store.remove(Kind, Name, IfVersion)
          : Store.put(Kind, Name, IfVersion, Request.Body);
  if (std::holds_alternative<platform_object>(Result))
    notifyWatchers();
  if (Faults.LoseWriteAnswers > 0) {
    --Faults.LoseWriteAnswers;
    return lostAnswer();
  }
  return writeResponse(Result);
}

void platform_stub::watch(const http_request &Request,
                          http_server::responder Respond) {
  std::uint64_t After = numberParameter(Request, "after");
  std::chrono::milliseconds Wait(numberParameter(Request, "wait_ms"));
  if (Faults.StaleReads > 0) {
    --Faults.StaleReads;
    return Respond(changesResponse(StaleStore.changesAfter(After, {})));
  }
  platform_changes Changes = Store.changesAfter(After, {});
  if (!Changes.Objects.empty())
    return Respond(changesResponse(Changes));
  auto Watcher = std::make_shared<watcher>(
      watcher{After, std::move(Respond), boost::asio::steady_timer(Context)});
  Watchers.push_back(Watcher);
  Watcher->Timer.expires_after(Wait);
  Watcher->Timer.async_wait([this, Watcher](const boost::system::error_code &) {
    Watchers.remove(Watcher);
    if (Faults.Down)
      return Watcher->Respond(lostAnswer());
    Watcher->Respond(changesResponse(Store.changesAfter(Watcher->After, {})));
  });
}

void platform_stub::notifyWatchers() {
  for (const auto &Watcher : Watchers)
    Watcher->Timer.cancel();
}

void platform_stub::readFaults(const std::string &Body) {
  nlohmann::json Root = nlohmann::json::parse(Body);
  Faults.Down = Root.value("down", false);
  Faults.Delay = std::chrono::milliseconds(Root.value("delay_ms", 0));
  Faults.LoseWriteAnswers = Root.value("lose_write_answers", 0U);
  Faults.StaleReads = Root.value("stale_reads", 0U);
  if (Faults.StaleReads > 0)
    StaleStore = Store;
  if (Faults.Down)
    notifyWatchers();
}
