#ifndef MASTICPROXY_DAEMON_PEER_SENDER_H
#define MASTICPROXY_DAEMON_PEER_SENDER_H

#include <boost/beast/core/tcp_stream.hpp>

#include <deque>
#include <memory>
#include <string>
#include <string_view>

namespace masticproxy {

class counter_registry;

namespace internal {

/// \brief The connection that this VM opened to one peer; frames go out in
/// order, and the oldest give way when the peer takes none.
class peer_sender : public std::enable_shared_from_this<peer_sender> {
public:
  peer_sender(boost::asio::io_context &Context, std::string_view Address,
              counter_registry &Counters);

  /// Queues \p Frame, connecting first where needed.
  void send(std::string Frame);

  /// Closes the connection.
  void close();

private:
  void connect();
  void write();
  void lose();

  boost::beast::tcp_stream Stream;
  boost::asio::ip::tcp::endpoint Endpoint;
  counter_registry &Counters;
  std::deque<std::string> Frames;
  bool Connected = false;
  bool Busy = false;
};

} // namespace internal
} // namespace masticproxy

#endif
