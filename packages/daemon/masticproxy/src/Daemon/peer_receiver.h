#ifndef MASTICPROXY_DAEMON_PEER_RECEIVER_H
#define MASTICPROXY_DAEMON_PEER_RECEIVER_H

#include "masticproxy/src/Wire/frame_reader.h"
#include "masticproxy/src/Wire/peer_frame.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace masticproxy {

class counter_registry;

namespace internal {

/// Takes over a connection that carries relayed attempts, with the bytes that
/// were read from it.
using relay_handover =
    std::function<void(boost::asio::ip::tcp::socket, std::string)>;

/// \brief A connection that a peer opened; ends at the first bad frame.
class peer_receiver : public std::enable_shared_from_this<peer_receiver> {
public:
  peer_receiver(boost::asio::ip::tcp::socket Socket, counter_registry &Counters,
                std::function<void(const peer_frame &)> Receive,
                relay_handover HandOver);

  /// Starts to read frames.
  void start();

private:
  bool handleFrames();
  void end();
  void reject(frame_error Error);

  boost::asio::ip::tcp::socket Socket;
  counter_registry &Counters;
  std::function<void(const peer_frame &)> Receive;
  relay_handover HandOver;
  frame_reader Reader;
  std::array<char, 16384> Chunk{};
};

} // namespace internal
} // namespace masticproxy

#endif
