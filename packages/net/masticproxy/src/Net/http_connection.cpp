#include "masticproxy/src/Net/http_connection.h"

#include "masticproxy/src/Net/http_convert.h"
#include "masticproxy/src/Net/socket_peek.h"
#include "masticproxy/src/Net/tcp_address.h"
#include "masticproxy/src/Net/tcp_options.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <optional>

using namespace masticproxy;
using boost::asio::ip::tcp;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t MaxResponseBytes = 16U << 20U;

/// Longest wait for a new connection: many round trips between data centres,
/// and less than it takes for a lost opening packet to be sent again.
constexpr std::chrono::milliseconds ConnectTimeout{300};

} // namespace

/// Shared with handlers, which may outlive the connection object.
struct http_connection::state : std::enable_shared_from_this<state> {
  state(boost::asio::io_context &Context, std::string_view Address)
      : Stream(Context), Endpoint(parseTcpAddress(Address)) {}

  void start(http_request NewRequest, std::chrono::milliseconds Timeout) {
    Request = internal::toBeast(std::move(NewRequest));
    Deadline = std::chrono::steady_clock::now() + Timeout;
    if (usable()) {
      Stream.expires_at(Deadline);
      return write();
    }
    Stream.close();
    Buffer.clear();
    Stream.expires_after(std::min(Timeout, ConnectTimeout));
    Stream.async_connect(Endpoint, [Self = shared_from_this()](
                                       const boost::system::error_code &E) {
      if (E)
        return Self->fail(/*MayHaveRun=*/false, E);
      Self->Open = true;
      internal::setTcpOptions(Self->Stream.socket());
      Self->Stream.expires_at(Self->Deadline);
      Self->write();
    });
  }

  void write() {
    http::async_write(Stream, Request,
                      [Self = shared_from_this()](
                          const boost::system::error_code &E, std::size_t) {
                        if (E)
                          return Self->fail(/*MayHaveRun=*/true, E);
                        Self->read();
                      });
  }

  void read() {
    Parser.emplace();
    Parser->body_limit(MaxResponseBytes);
    // The response to HEAD states a length and has no body.
    Parser->skip(Request.method() == http::verb::head);
    http::async_read(Stream, Buffer, *Parser,
                     [Self = shared_from_this()](
                         const boost::system::error_code &E, std::size_t) {
                       if (E)
                         return Self->fail(/*MayHaveRun=*/true, E);
                       Self->succeed();
                     });
  }

  void succeed() {
    http_response Response = internal::fromBeast(Parser->release());
    // What follows a response before the next request belongs to none.
    if (Response.Close || Buffer.size() > 0)
      close();
    else
      Stream.expires_never();
    finish(std::move(Response));
  }

  void fail(bool MayHaveRun, const boost::system::error_code &Error) {
    close();
    bool Closed = Error == boost::asio::error::eof ||
                  Error == boost::asio::error::connection_reset ||
                  Error == boost::asio::error::broken_pipe ||
                  Error == http::error::end_of_stream ||
                  Error == http::error::partial_message;
    finish(exchange_error{MayHaveRun, Error.message(), Closed});
  }

  void finish(exchange_result Result) {
    if (auto Callback = std::exchange(Done, nullptr))
      Callback(std::move(Result));
  }

  void close() {
    Open = false;
    Stream.close();
  }

  /// Whether the kept-alive connection is still open at the other end.
  bool usable() {
    if (!Open)
      return false;
    Open = internal::peek(Stream.socket()) == boost::asio::error::would_block;
    return Open;
  }

  boost::beast::tcp_stream Stream;
  tcp::endpoint Endpoint;
  boost::beast::flat_buffer Buffer;
  internal::beast_request Request;
  std::optional<http::response_parser<http::string_body>> Parser;
  std::function<void(exchange_result)> Done;
  std::chrono::steady_clock::time_point Deadline;
  bool Open = false;
};

http_connection::http_connection(boost::asio::io_context &Context,
                                 std::string_view Address)
    : State(std::make_shared<state>(Context, Address)) {}

http_connection::~http_connection() { close(); }

void http_connection::exchange(http_request Request,
                               std::chrono::milliseconds Timeout,
                               std::function<void(exchange_result)> Done) {
  State->Done = std::move(Done);
  State->start(std::move(Request), Timeout);
}

bool http_connection::warm() const { return State->Open; }

void http_connection::close() { State->close(); }
