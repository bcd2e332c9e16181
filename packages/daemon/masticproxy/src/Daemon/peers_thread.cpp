#include "masticproxy/src/Daemon/peers_thread.h"

#include "masticproxy/src/Base/counter_registry.h"
#include "masticproxy/src/Daemon/peer_receiver.h"
#include "masticproxy/src/Daemon/peer_sender.h"
#include "masticproxy/src/Daemon/relay_thread.h"
#include "masticproxy/src/Net/hybrid_clock.h"
#include "masticproxy/src/Net/tcp_listen.h"
#include "masticproxy/src/Settings/address_text.h"
#include "masticproxy/src/Wire/frame_reader.h"
#include "masticproxy/src/Wire/peer_codec.h"

using namespace masticproxy;
using boost::asio::ip::tcp;

peers_thread::peers_thread(std::string Address, hybrid_clock &Timeline,
                           counter_registry &Counters)
    : Address(std::move(Address)), Timeline(Timeline), Counters(Counters),
      Loop(Counters), Acceptor(Loop.context()),
      Outbox(ControlRingCapacity, [this] {
        Loop.post([this] {
          Outbox.drain([this](const send_to_peer &Command) { send(Command); });
        });
      }) {}

peers_thread::~peers_thread() { stop(); }

void peers_thread::start() {
  listenAt(Acceptor, Address);
  accept();
  Loop.start();
}

void peers_thread::stop() { Loop.stop(); }

void peers_thread::accept() {
  Acceptor.async_accept(
      [this](const boost::system::error_code &Error, tcp::socket Socket) {
        if (!Acceptor.is_open())
          return;
        if (!Error)
          std::make_shared<internal::peer_receiver>(
              std::move(Socket), Counters,
              [this](const peer_frame &Frame) { receive(Frame); },
              [this](tcp::socket Relayed, std::string Early) {
                Relay->adopt(std::move(Relayed), std::move(Early));
              })
              ->start();
        accept();
      });
}

void peers_thread::send(const send_to_peer &Command) {
  // Peers and the platform's list name the addresses; one that is none must
  // not end this thread.
  if (!isAddressText(Command.PeerAddress)) {
    Counters.get("peer_bad_addresses_total").add();
    return;
  }
  std::shared_ptr<internal::peer_sender> &Sender = Senders[Command.PeerAddress];
  if (!Sender)
    Sender = std::make_shared<internal::peer_sender>(
        Loop.context(), Command.PeerAddress, Counters);
  Sender->send(makeFrame(encodePeerMessage(*Command.Message, Timeline.tick())));
}

void peers_thread::receive(const peer_frame &Frame) {
  Timeline.receive(Frame.Stamp);
  Counters.get("peer_messages_received_total").add();
  // Every message is sent again in some later form, so a full ring drops it.
  if (!Control->push(Frame.Message))
    Counters.get("peer_messages_dropped_total").add();
}
