#ifndef MASTICPROXY_NET_HTTP_SERVER_H
#define MASTICPROXY_NET_HTTP_SERVER_H

#include "masticproxy/src/Net/http_message.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace masticproxy {

class connection_memory;

/// \brief Bounds of an HTTP server.
struct http_server_limits {
  /// Longest header and longest body of a request, in bytes.
  std::size_t HeaderBytes = 16384;
  std::size_t BodyBytes = 65536;
  /// Bytes that connections hold together: requests from their arrival to the
  /// response, and responses that are not read. A few KiB of each connection
  /// do not count. Fixed.
  std::size_t HeldBytes = 64U << 20U;
  /// The account of these bytes, where servers of one thread share it.
  std::shared_ptr<connection_memory> Memory = nullptr;
  /// Connections open at a time. One more ends the one that has been idle for
  /// longest; where none is idle, it is closed at once.
  std::size_t Connections = 4096;
  /// Silence after which a connection is closed.
  std::chrono::milliseconds IdleTimeout{60000};
  /// Longest time from the first byte of a header to its last.
  std::chrono::milliseconds HeaderTimeout{10000};
  /// Time that a new connection waits before it is read.
  std::chrono::milliseconds SetupDelay{0};
};

/// \brief An HTTP/1.1 server on one thread's io_context.
///
/// Bad requests (malformed, too large) are answered here; the handler sees
/// well-formed ones only.
class http_server {
public:
  /// Answers one request; callable once, on the server's thread.
  using responder = std::function<void(http_response)>;
  /// Called with each request.
  using handler = std::function<void(http_request, responder)>;

  /// Listens at \p Address (IP number and port; port 0 lets the system choose).
  /// \throws std::runtime_error where it can't.
  http_server(boost::asio::io_context &Context, std::string_view Address,
              const http_server_limits &Limits, handler Handler);
  ~http_server();
  http_server(const http_server &) = delete;
  http_server &operator=(const http_server &) = delete;

  /// Sets what is called when a caller closes its connection before it has the
  /// response to the request with that serial number.
  void onCallerGone(std::function<void(std::uint64_t)> Gone);

  /// Sets what brings the bounds up to date: called when a request begins, and
  /// when a connection has been silent for as long as they allow.
  void onLimits(std::function<void(http_server_limits &)> Renew);

  /// Goes on serving, and ends each connection after its next response.
  void endConnectionsAfterResponse();

  /// Takes no further connection and lets the open ones end after the
  /// response that is due.
  void stopAccepting();

  /// Closes all connections at once.
  void closeAll();

  /// \returns the port it listens on.
  std::uint16_t port() const;

  /// \returns the connections open now.
  std::size_t connections() const;

  /// \returns whether there are as many as allowed, and none is idle.
  bool full() const;

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace masticproxy

#endif
