#ifndef MASTICPROXY_NET_HTTP_SESSION_H
#define MASTICPROXY_NET_HTTP_SESSION_H

#include "masticproxy/src/Net/http_convert.h"
#include "masticproxy/src/Net/http_request_parser.h"
#include "masticproxy/src/Net/session_rules.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>
#include <optional>

namespace masticproxy::internal {

/// \brief One connection of an http_server.
class http_session : public std::enable_shared_from_this<http_session> {
public:
  http_session(boost::asio::ip::tcp::socket Socket,
               std::shared_ptr<session_rules> Rules);
  ~http_session();

  /// Starts to read requests, after the limits' set-up delay.
  void start();

  /// Ends the connection after its next response.
  void endAfterResponse() { Closing = true; }

  /// \returns whether the connection ends after its next response.
  bool ending() const { return Closing; }

  /// Closes the connection now if it is idle, or else after the response to
  /// the request that is under way or has begun to arrive.
  void closeWhenIdle();

  /// Closes the connection at once. What was read of a request is dropped.
  void close();

  /// \returns whether bytes of the caller wait in the socket to be read.
  bool hasUnreadBytes();

  /// \returns since when the connection awaits a request; empty if it doesn't.
  std::optional<std::chrono::steady_clock::time_point> idleSince() const {
    return IdleSince;
  }

private:
  /// \returns a completion handler that runs \p Step, unless the session was
  /// closed after the operation had completed and before the handler's turn.
  template <typename StepType> auto unlessClosed(StepType Step);
  void read();
  /// Waits until bytes can be read, or the caller has left.
  void awaitBytes();
  void onReadable();
  void readAvailable();
  /// Closes the connection once it was silent for as long as the limits allow.
  void awaitIdleEnd();
  /// Takes what has come already.
  void parseBuffered();
  void readHeader();
  void startBody();
  void readBody();
  void onRead(const boost::system::error_code &Error);
  void handle(http_request Request);
  /// Acts on a caller that has left before it has its response.
  void checkCaller();
  /// Brings up to date what this connection takes of the server's memory.
  /// \returns false if there is no room for \p Bytes.
  bool hold(std::size_t Bytes);
  void release();
  /// \returns the bytes that the request under way takes so far.
  std::size_t requestBytes() const;
  /// Records that the connection waits for its caller from now on.
  void beginWait();
  void endWait();
  /// Answers with \p Rejection, and ends the connection.
  void reject(http_response Rejection);
  void respond(http_response Response);
  void readOutRejected();
  void discard(std::size_t Already);

  boost::beast::tcp_stream Stream;
  std::shared_ptr<session_rules> Rules;
  boost::beast::flat_buffer Buffer;
  std::optional<http_request_parser> Parser;
  std::optional<beast_response> Out;
  std::optional<std::chrono::steady_clock::time_point> IdleSince;
  /// Ends the set-up delay, later the silence or the time for a header.
  boost::asio::steady_timer Timer;
  bool Busy = false;
  bool Closing = false;
  bool Closed = false;
  /// Of the request under way; unknown until it was read.
  boost::beast::http::verb Method = boost::beast::http::verb::unknown;
  /// The request under way lets its connection be kept.
  bool KeepAlive = false;
  bool Rejected = false;
  /// The header took longer than the limits allow.
  bool HeaderLate = false;
  /// A wait of awaitBytes() is under way.
  bool AwaitsBytes = false;
  std::uint64_t Serial = 0;
  /// Taken from the server's memory.
  std::size_t HeldBytes = 0;
  /// Of these, what the header of the request takes once it is read.
  std::size_t HeaderBytes = 0;
  std::optional<connection_memory::wait_position> Wait;
};

} // namespace masticproxy::internal

#endif
