#include "masticproxy/src/Daemon/relay_connection.h"

#include "masticproxy/src/Base/counter_registry.h"
#include "masticproxy/src/Net/hybrid_clock.h"
#include "masticproxy/src/Wire/relay_codec.h"

#include <boost/asio/write.hpp>

using namespace masticproxy;
using namespace masticproxy::internal;
using boost::asio::ip::tcp;

namespace {

/// Messages that may wait to be written.
constexpr std::size_t MaxQueued = 1024;

} // namespace

relay_connection::relay_connection(tcp::socket Socket, hybrid_clock &Timeline,
                                   counter_registry &Counters,
                                   handlers Handlers)
    : Socket(std::move(Socket)), Timeline(Timeline), Counters(Counters),
      Handlers(std::move(Handlers)) {}

void relay_connection::connect(const tcp::endpoint &Endpoint) {
  Socket.async_connect(Endpoint, [Self = shared_from_this()](
                                     const boost::system::error_code &Error) {
    if (Self->Closed)
      return;
    if (Error)
      return Self->lose();
    Self->start({});
  });
}

void relay_connection::start(std::string_view Early) {
  Connected = true;
  boost::system::error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  Reader.append(Early);
  if (!handleFrames())
    return;
  read();
  write();
}

bool relay_connection::send(relay_message Message) {
  if (Closed || Queue.size() >= MaxQueued) {
    Counters.get("relay_queue_full_total").add();
    return false;
  }
  Queue.push_back(std::move(Message));
  write();
  return true;
}

void relay_connection::close() {
  Closed = true;
  Handlers = {};
  boost::system::error_code Ignored;
  Socket.close(Ignored);
}

void relay_connection::read() {
  Socket.async_read_some(
      boost::asio::buffer(Chunk),
      [Self = shared_from_this()](const boost::system::error_code &Error,
                                  std::size_t Bytes) {
        if (Self->Closed)
          return;
        if (Error)
          return Self->lose();
        Self->Reader.append({Self->Chunk.data(), Bytes});
        if (Self->handleFrames())
          Self->read();
      });
}

bool relay_connection::handleFrames() {
  while (auto Next = Reader.next()) {
    std::variant<relay_frame, frame_error> Decoded = frame_error::Malformed;
    if (auto *Payload = std::get_if<std::string>(&*Next))
      Decoded = decodeRelayFrame(*Payload);
    auto *Frame = std::get_if<relay_frame>(&Decoded);
    if (!Frame) {
      Counters.get("relay_bad_frames_total").add();
      lose();
      return false;
    }
    Timeline.receive(Frame->Stamp);
    Handlers.Receive(std::move(Frame->Message));
    if (Closed)
      return false;
  }
  return true;
}

void relay_connection::write() {
  while (Connected && !Closed && Writing.empty() && !Queue.empty()) {
    relay_message Message = std::move(Queue.front());
    Queue.pop_front();
    if (!Handlers.BeforeWrite(Message))
      continue;
    Writing = makeFrame(encodeRelayFrame({Timeline.tick(), std::move(Message)}),
                        frame_channel::Relay);
  }
  if (Writing.empty() || Closed || !Connected || WriteStarted)
    return;
  WriteStarted = true;
  boost::asio::async_write(
      Socket, boost::asio::buffer(Writing),
      [Self = shared_from_this()](const boost::system::error_code &Error,
                                  std::size_t Bytes) {
        Self->WriteStarted = false;
        Self->Writing.clear();
        if (Self->Closed)
          return;
        if (Error)
          return Self->lose();
        Self->Counters.get("relay_bytes_sent_total")
            .add(static_cast<std::int64_t>(Bytes));
        Self->write();
      });
}

void relay_connection::lose() {
  // The handler may drop the owner's last reference to this connection.
  auto Self = shared_from_this();
  std::function<void()> Lost = std::move(Handlers.Lost);
  close();
  Lost();
}
