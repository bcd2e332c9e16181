#ifndef MASTICPROXY_DAEMON_RELAY_CONNECTION_H
#define MASTICPROXY_DAEMON_RELAY_CONNECTION_H

#include "masticproxy/src/Relay/relay_message.h"
#include "masticproxy/src/Wire/frame_reader.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace masticproxy {

class counter_registry;
class hybrid_clock;

namespace internal {

/// \brief One TCP connection that carries relay messages both ways; either
/// side may have opened it.
class relay_connection : public std::enable_shared_from_this<relay_connection> {
public:
  /// What the owner is told.
  struct handlers {
    std::function<void(relay_message)> Receive;
    /// Called when a message's turn to be written has come, to complete it.
    /// \returns whether to write it.
    std::function<bool(relay_message &)> BeforeWrite;
    /// Called once, unless close() came first.
    std::function<void()> Lost;
  };

  relay_connection(boost::asio::ip::tcp::socket Socket, hybrid_clock &Timeline,
                   counter_registry &Counters, handlers Handlers);

  /// Opens the connection to \p Endpoint, then starts.
  void connect(const boost::asio::ip::tcp::endpoint &Endpoint);

  /// Starts on an open connection of which \p Early was read already.
  void start(std::string_view Early);

  /// Queues \p Message. \returns false, with nothing queued, when too many
  /// wait to be written.
  bool send(relay_message Message);

  /// Closes; no handler is called from here on.
  void close();

  /// \returns whether the other end has accepted the connection.
  bool connected() const { return Connected; }

private:
  void read();
  bool handleFrames();
  void write();
  void lose();

  boost::asio::ip::tcp::socket Socket;
  hybrid_clock &Timeline;
  counter_registry &Counters;
  handlers Handlers;
  frame_reader Reader;
  std::array<char, 16384> Chunk{};
  std::deque<relay_message> Queue;
  std::string Writing;
  bool Connected = false;
  bool WriteStarted = false;
  bool Closed = false;
};

} // namespace internal
} // namespace masticproxy

#endif
