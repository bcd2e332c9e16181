#include "masticproxy/src/Net/http_server.h"

#include "masticproxy/src/Net/http_session.h"
#include "masticproxy/src/Net/tcp_listen.h"

#include <boost/asio/steady_timer.hpp>

#include <list>

using namespace masticproxy;
using boost::asio::ip::tcp;

namespace {

/// Pause after a connection could not be accepted: an error that lasts must not
/// take the processor.
constexpr std::chrono::milliseconds PauseAfterError{50};

} // namespace

/// Shared with the accept handler, which may outlive the server object.
struct http_server::state : std::enable_shared_from_this<state> {
  state(boost::asio::io_context &Context, const http_server_limits &Limits,
        handler Handler)
      : Acceptor(Context), AcceptPause(Context),
        Rules(std::make_shared<internal::session_rules>(Limits)) {
    Rules->Handler = std::move(Handler);
  }

  void accept() {
    Acceptor.async_accept(
        [Self = shared_from_this()](const boost::system::error_code &Error,
                                    tcp::socket Socket) {
          if (!Self->Acceptor.is_open())
            return;
          if (Error)
            return Self->acceptLater();
          Self->add(std::move(Socket));
          Self->accept();
        });
  }

  /// After an error: no descriptor was left, as a rule.
  void acceptLater() {
    closeLongestIdle();
    AcceptPause.expires_after(PauseAfterError);
    AcceptPause.async_wait(
        [Self = shared_from_this()](const boost::system::error_code &) {
          if (Self->Acceptor.is_open())
            Self->accept();
        });
  }

  void add(tcp::socket Socket) {
    bool Room = count() < Rules->Limits.Connections || closeLongestIdle();
    if (!Room)
      return endOldestBusy();
    auto Session =
        std::make_shared<internal::http_session>(std::move(Socket), Rules);
    Sessions.push_back(Session);
    if (EndAfterResponse)
      Session->endAfterResponse();
    Session->start();
  }

  /// \returns the session that has been idle for longest, or null.
  std::shared_ptr<internal::http_session> longestIdle() const {
    std::shared_ptr<internal::http_session> Longest;
    for (const auto &Weak : Sessions) {
      auto Session = Weak.lock();
      if (!Session || !Session->idleSince())
        continue;
      bool Longer = !Longest || *Session->idleSince() < *Longest->idleSince();
      // One whose request has come, but was not read yet, is not idle.
      if (Longer && !Session->hasUnreadBytes())
        Longest = std::move(Session);
    }
    return Longest;
  }

  /// \returns whether there was one.
  bool closeLongestIdle() {
    auto Longest = longestIdle();
    if (Longest)
      Longest->close();
    return Longest != nullptr;
  }

  /// Tells the caller of the oldest connection with its response that it ends.
  void endOldestBusy() {
    for (const auto &Weak : Sessions)
      if (auto Session = Weak.lock(); Session && !Session->ending())
        return Session->endAfterResponse();
  }

  bool full() { return count() >= Rules->Limits.Connections && !longestIdle(); }

  std::size_t count() {
    Sessions.remove_if([](const auto &Session) { return Session.expired(); });
    return Sessions.size();
  }

  template <typename Action> void each(Action Do) {
    for (const auto &Weak : Sessions)
      if (auto Session = Weak.lock())
        Do(*Session);
  }

  tcp::acceptor Acceptor;
  boost::asio::steady_timer AcceptPause;
  bool EndAfterResponse = false;
  std::shared_ptr<internal::session_rules> Rules;
  std::list<std::weak_ptr<internal::http_session>> Sessions;
};

http_server::http_server(boost::asio::io_context &Context,
                         std::string_view Address,
                         const http_server_limits &Limits, handler Handler)
    : State(std::make_shared<state>(Context, Limits, std::move(Handler))) {
  listenAt(State->Acceptor, Address);
  State->accept();
}

http_server::~http_server() { closeAll(); }

void http_server::onCallerGone(std::function<void(std::uint64_t)> Gone) {
  State->Rules->CallerGone = std::move(Gone);
}

void http_server::onLimits(std::function<void(http_server_limits &)> Renew) {
  State->Rules->Renew = std::move(Renew);
}

void http_server::endConnectionsAfterResponse() {
  State->EndAfterResponse = true;
  State->each([](internal::http_session &S) { S.endAfterResponse(); });
}

void http_server::stopAccepting() {
  boost::system::error_code Ignored;
  State->Acceptor.close(Ignored);
  State->each([](internal::http_session &S) { S.closeWhenIdle(); });
}

void http_server::closeAll() {
  boost::system::error_code Ignored;
  State->Acceptor.close(Ignored);
  State->each([](internal::http_session &S) { S.close(); });
}

std::uint16_t http_server::port() const {
  return State->Acceptor.local_endpoint().port();
}

std::size_t http_server::connections() const { return State->count(); }

bool http_server::full() const { return State->full(); }
