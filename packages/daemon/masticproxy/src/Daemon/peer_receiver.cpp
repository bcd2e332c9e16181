#include "masticproxy/src/Daemon/peer_receiver.h"

#include "masticproxy/src/Base/counter_registry.h"
#include "masticproxy/src/Wire/peer_codec.h"

#include <boost/asio/buffer.hpp>

using namespace masticproxy;
using namespace masticproxy::internal;

peer_receiver::peer_receiver(boost::asio::ip::tcp::socket Socket,
                             counter_registry &Counters,
                             std::function<void(const peer_frame &)> Receive,
                             relay_handover HandOver)
    : Socket(std::move(Socket)), Counters(Counters),
      Receive(std::move(Receive)), HandOver(std::move(HandOver)) {}

void peer_receiver::start() {
  Socket.async_read_some(
      boost::asio::buffer(Chunk),
      [Self = shared_from_this()](const boost::system::error_code &Error,
                                  std::size_t Bytes) {
        if (Error)
          return Self->end();
        Self->Counters.get("peer_bytes_received_total")
            .add(static_cast<std::int64_t>(Bytes));
        Self->Reader.append({Self->Chunk.data(), Bytes});
        if (Self->handleFrames())
          Self->start();
      });
}

bool peer_receiver::handleFrames() {
  if (Reader.channel() == frame_channel::Relay) {
    HandOver(std::move(Socket), Reader.takeBytes());
    return false;
  }
  while (auto Frame = Reader.next()) {
    if (auto *Error = std::get_if<frame_error>(&*Frame)) {
      reject(*Error);
      return false;
    }
    auto Decoded = decodePeerFrame(std::get<std::string>(*Frame));
    if (auto *Error = std::get_if<frame_error>(&Decoded)) {
      reject(*Error);
      return false;
    }
    Receive(std::get<peer_frame>(Decoded));
  }
  return true;
}

void peer_receiver::end() {
  if (Reader.partial())
    reject(frame_error::CutShort);
}

void peer_receiver::reject(frame_error Error) {
  Counters
      .get("peer_bad_frames_total",
           "reason=\"" + std::string(toString(Error)) + "\"")
      .add();
  boost::system::error_code Ignored;
  Socket.close(Ignored);
}
