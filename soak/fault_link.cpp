#include "fault_link.h"

#include "link_session.h"
#include "masticproxy/Net"

using namespace masticproxy;
using namespace masticproxy::soak;
using boost::asio::ip::tcp;

fault_link::fault_link(boost::asio::io_context &Context,
                       std::string_view Address, std::string_view Target)
    : Acceptor(Context, parseTcpAddress(Address)),
      Target(parseTcpAddress(Target)) {
  accept();
}

fault_link::~fault_link() = default;

void fault_link::setMode(link_mode NewMode) {
  Mode = NewMode;
  Sessions.remove_if([](const auto &Session) { return Session.expired(); });
  for (const auto &Session : Sessions)
    if (auto Open = Session.lock())
      Open->setMode(Mode);
}

void fault_link::accept() {
  Acceptor.async_accept(
      [this](const boost::system::error_code &Error, tcp::socket Caller) {
        if (Error)
          return;
        take(std::move(Caller));
        accept();
      });
}

void fault_link::take(tcp::socket Caller) {
  auto Session = std::make_shared<link_session>(std::move(Caller), Mode);
  if (Mode == link_mode::Resetting)
    return;
  Sessions.push_back(Session);
  Session->start(Target);
}
