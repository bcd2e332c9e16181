#include "masticproxy/src/Daemon/quota_service.h"

#include "masticproxy/src/Base/counter_registry.h"
#include "masticproxy/src/Daemon/daemon_log.h"
#include "masticproxy/src/Daemon/loop_thread.h"
#include "masticproxy/src/Daemon/outcome_response.h"
#include "masticproxy/src/Daemon/quota_codec.h"
#include "masticproxy/src/Net/http_status.h"

#include <exception>
#include <utility>

using namespace masticproxy;

namespace {

constexpr std::string_view QuotaPath = "/v1/quota";

/// Time without an answer after which another granter is looked for.
constexpr std::chrono::milliseconds LooksAfter{500};

/// Longest message of a VM, in bytes: some thousand teams.
constexpr std::size_t LongestMessage = 1U << 20U;

} // namespace

quota_service::quota_service(loop_thread &Loop, const clock &BootClock,
                             quota_limits Limits, quota_settings Settings,
                             std::string ListenAddress, bool FirstStart,
                             counter_registry &Counters)
    : Loop(Loop), Clock(BootClock), Limits(std::move(Limits)),
      Settings(Settings), ListenAddress(std::move(ListenAddress)),
      FirstStart(FirstStart), Counters(Counters) {}

quota_service::~quota_service() = default;

void quota_service::start() {
  http_server_limits ServerLimits;
  ServerLimits.BodyBytes = LongestMessage;
  Server = std::make_unique<http_server>(
      Loop.context(), ListenAddress, ServerLimits,
      [this](const http_request &Request,
             const http_server::responder &Respond) {
        serve(Request, Respond);
      });
}

void quota_service::stop() {
  Server.reset();
  Connection.reset();
}

void quota_service::setGranter(const granter_place &NewPlace) {
  bool Same = Place.sameAs(NewPlace);
  Place = NewPlace;
  if (Same) {
    updateClaims();
    return;
  }
  Counters.get("granter_term").set(static_cast<std::int64_t>(Place.Term));
  Connection.reset();
  FailingSince.reset();
  Granter.reset();
  bool First = FirstStart && Place.Term == 1;
  if (Place.Self)
    Granter.emplace(
        Clock, Limits, Settings, Place.Term,
        First ? std::nullopt
              : std::optional(Place.Predecessor.value_or(granter_claims())));
  else if (Place.Term > 0)
    Connection =
        std::make_unique<http_connection>(Loop.context(), Place.Address);
  if (!std::exchange(Reported, true))
    Report(true);
}

void quota_service::ask(const quota_ask &Ask, answer_handler Done) {
  Counters.get("quota_asks_total").add();
  if (Granter) {
    std::optional<quota_answer> Answer = answer(Ask);
    Loop.post(
        [Done = std::move(Done), Answer = std::move(Answer)] { Done(Answer); });
    return;
  }
  if (!Connection) {
    Loop.post([Done = std::move(Done)] { Done(std::nullopt); });
    return;
  }
  http_request Request;
  Request.Method = "POST";
  Request.Target = QuotaPath;
  Request.Headers.emplace_back("content-type", "application/json");
  Request.Body = toJson(Ask);
  Connection->exchange(
      std::move(Request), Settings.LongestWait,
      [this, Done = std::move(Done)](const exchange_result &Result) {
        onExchange(Result, Done);
      });
}

void quota_service::onExchange(const exchange_result &Result,
                               const answer_handler &Done) {
  const auto *Response = std::get_if<http_response>(&Result);
  std::optional<quota_answer> Answer;
  try {
    if (Response && Response->Status == StatusOk)
      Answer = readQuotaAnswer(Response->Body);
  } catch (const std::exception &Error) {
    logWarning("event=quota_answer_unreadable reason=\"" +
               std::string(Error.what()) + "\"");
  }
  if (!Answer) {
    onFailure(Response && Response->Status == StatusUnavailable);
    return Done(std::nullopt);
  }
  // The VM that is asked has restarted, and is the granter again.
  if (Answer->Term > Place.Term) {
    Place.Term = Answer->Term;
    TermChanged(Place.Term);
  }
  FailingSince.reset();
  if (!std::exchange(Reported, true))
    Report(true);
  Done(std::move(Answer));
}

void quota_service::updateClaims() {
  if (!Granter)
    return;
  Granter->onRecord(Place.Claims);
  if (std::optional<granter_claims> Claims = Granter->takeClaims())
    Claim(Place.Term, std::move(*Claims));
}

void quota_service::onFailure(bool Refused) {
  Counters.get("quota_asks_failed_total").add();
  // An answer that comes late must not be taken for the next one. The former
  // connection is still within its call.
  std::shared_ptr<http_connection> Former = std::move(Connection);
  Loop.post([Former = std::move(Former)] {});
  Connection = std::make_unique<http_connection>(Loop.context(), Place.Address);
  time_point Now = Clock.now();
  if (!FailingSince)
    FailingSince = Now;
  // A VM that says that it does not grant will not soon.
  bool Looks = Refused || Now - *FailingSince >= LooksAfter;
  if (Looks && std::exchange(Reported, false))
    Report(false);
}

void quota_service::serve(const http_request &Request,
                          const http_server::responder &Respond) {
  if (Request.Method != "POST" || targetPath(Request.Target) != QuotaPath)
    return Respond(errorResponse(StatusNotFound, "not_found",
                                 "only POST /v1/quota is served here", ""));
  try {
    std::optional<quota_answer> Answer = answer(readQuotaAsk(Request.Body));
    if (!Answer)
      return Respond(errorResponse(StatusUnavailable, "not_granter",
                                   "this VM does not grant quotas now", ""));
    http_response Response;
    Response.Headers.emplace_back("content-type", "application/json");
    Response.Body = toJson(*Answer);
    Respond(std::move(Response));
  } catch (const std::exception &Error) {
    Counters.get("quota_asks_unreadable_total").add();
    Respond(errorResponse(StatusBadRequest, "bad_request", Error.what(), ""));
  }
}

std::optional<quota_answer> quota_service::answer(const quota_ask &Ask) {
  bool Grants = Granter && Clock.now() < Place.GrantsUntil;
  if (!Grants || Ask.Term > Place.Term)
    return std::nullopt;
  quota_answer Answer = Granter->answer(Ask);
  updateClaims();
  return Answer;
}
