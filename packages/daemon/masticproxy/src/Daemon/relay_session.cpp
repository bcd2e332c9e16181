#include "masticproxy/src/Daemon/relay_session.h"

#include "masticproxy/src/Base/counter_registry.h"
#include "masticproxy/src/Daemon/relay_connection.h"

using namespace masticproxy;
using namespace masticproxy::internal;

namespace {

/// How long a session may be silent; an origin closes idle links earlier.
constexpr std::chrono::minutes MaxSilence{15};

/// Longest result that fits into a frame with its envelope.
constexpr std::size_t MaxResultBytes = MaxFrameBytes - 65536;

/// The answer as it can be sent: a result that fits into no frame is lost, and
/// its origin has to know that the attempt ran.
relay_message sendable(const relay_message &Message) {
  auto *Result = std::get_if<relay_result>(&Message);
  if (Result && Result->Result.Body.size() > MaxResultBytes)
    return relay_unknown{Result->Attempt};
  return Message;
}

} // namespace

relay_session::relay_session(relay_links &Links, std::uint64_t Id,
                             boost::asio::ip::tcp::socket Socket)
    : Links(Links), Id(Id), LastHeard(Links.Clock.now()) {
  relay_connection::handlers Handlers;
  Handlers.Receive = [this](relay_message M) { receive(std::move(M)); };
  Handlers.BeforeWrite = [](relay_message &) { return true; };
  Handlers.Lost = [this] { Lost = true; };
  Connection = std::make_shared<relay_connection>(
      std::move(Socket), Links.Timeline, Links.Counters, std::move(Handlers));
}

relay_session::~relay_session() { Connection->close(); }

void relay_session::start(std::string_view Early) { Connection->start(Early); }

void relay_session::answer(const answer_relay &Command) {
  // An origin that does not read its answers is cut off: it then knows that
  // their outcome is unknown.
  if (!Lost && !Connection->send(sendable(Command.Message))) {
    Connection->close();
    Lost = true;
  }
}

bool relay_session::over() const {
  return Lost || Links.Clock.now() - LastHeard > MaxSilence;
}

void relay_session::receive(relay_message Message) {
  LastHeard = Links.Clock.now();
  if (auto *Request = std::get_if<relay_request>(&Message)) {
    relay_arrived Event{Id, std::move(*Request),
                        LastHeard + Request->Remaining};
    if (Links.Offer(Event))
      return;
    Links.Counters.get("relay_ring_full_total").add();
    answer({Id, "",
            relay_refusal{Event.Request.Attempt, refusal_reason::Overloaded}});
  } else if (auto *Cancel = std::get_if<relay_cancel>(&Message)) {
    Links.Offer(relay_cancelled{std::move(*Cancel)});
  } else if (auto *Ping = std::get_if<relay_ping>(&Message)) {
    if (!Ping->Reply)
      answer({Id, "", relay_ping{true}});
  }
}
