#include "masticproxy/src/Daemon/peer_sender.h"

#include "masticproxy/src/Base/counter_registry.h"
#include "masticproxy/src/Net/tcp_address.h"

#include <boost/asio/write.hpp>

using namespace masticproxy;
using namespace masticproxy::internal;

namespace {

constexpr std::size_t MaxQueuedFrames = 256;
constexpr std::chrono::seconds SendTimeout{2};

} // namespace

peer_sender::peer_sender(boost::asio::io_context &Context,
                         std::string_view Address, counter_registry &Counters)
    : Stream(Context), Endpoint(parseTcpAddress(Address)), Counters(Counters) {}

void peer_sender::send(std::string Frame) {
  if (Frames.size() >= MaxQueuedFrames) {
    // The front may be on its way out; the one behind it is the oldest to go.
    Frames.erase(Frames.begin() + 1);
    Counters.get("peer_frames_dropped_total").add();
  }
  Frames.push_back(std::move(Frame));
  if (Busy)
    return;
  if (Connected)
    write();
  else
    connect();
}

void peer_sender::close() { Stream.close(); }

void peer_sender::connect() {
  Busy = true;
  Stream.expires_after(SendTimeout);
  Stream.async_connect(Endpoint, [Self = shared_from_this()](
                                     const boost::system::error_code &Error) {
    if (Error)
      return Self->lose();
    Self->Connected = true;
    Self->write();
  });
}

void peer_sender::write() {
  Busy = true;
  Stream.expires_after(SendTimeout);
  boost::asio::async_write(
      Stream, boost::asio::buffer(Frames.front()),
      [Self = shared_from_this()](const boost::system::error_code &Error,
                                  std::size_t Bytes) {
        if (Error)
          return Self->lose();
        Self->Counters.get("peer_bytes_sent_total")
            .add(static_cast<std::int64_t>(Bytes));
        Self->Frames.pop_front();
        Self->Busy = false;
        Self->Stream.expires_never();
        if (!Self->Frames.empty())
          Self->write();
      });
}

void peer_sender::lose() {
  Counters.get("peer_send_errors_total").add();
  Stream.close();
  Connected = false;
  Busy = false;
  // What was queued is stale by the time the peer is back; the next heartbeat
  // says all that it needs.
  Frames.clear();
}
