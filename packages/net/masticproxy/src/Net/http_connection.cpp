#include "masticproxy/src/Net/http_connection.h"

#include "masticproxy/src/Net/byte_budget.h"
#include "masticproxy/src/Net/http_convert.h"
#include "masticproxy/src/Net/http_framing.h"
#include "masticproxy/src/Net/socket_peek.h"
#include "masticproxy/src/Net/tcp_address.h"
#include "masticproxy/src/Net/tcp_options.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
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

/// The only status below 200 of a response that is the last one; no request of
/// ours asks for it.
constexpr unsigned SwitchingProtocols = 101;

/// Bytes of a response that no budget counts, so that what most responses need
/// is always there.
constexpr std::size_t FreeBytes = 64U << 10U;

/// Most bytes read and not yet understood: more than a header or a chunk's may
/// have. Chunk extensions and trailers have no other limit.
constexpr std::size_t MaxBufferedBytes = 32U << 10U;

/// Statuses of HTTP: interim ones, which a final one follows, and final ones.
constexpr unsigned FirstInterim = 100;
constexpr unsigned FirstFinal = 200;
constexpr unsigned LastFinal = 599;

/// \returns whether a response of \p Status is followed by another one.
constexpr bool isInterim(unsigned Status) {
  return Status >= FirstInterim && Status < FirstFinal &&
         Status != SwitchingProtocols;
}

/// \returns whether \p Status can end an exchange. Others are no status of
/// HTTP, or change the protocol, which nobody has asked for.
constexpr bool isFinal(unsigned Status) {
  return Status >= FirstFinal && Status <= LastFinal;
}

/// Read at first; most responses of one shard are shorter.
constexpr std::size_t FirstReadBytes = 4096;

} // namespace

/// Shared with handlers, which may outlive the connection object.
struct http_connection::state : std::enable_shared_from_this<state> {
  state(boost::asio::io_context &Context, std::string_view Address,
        std::shared_ptr<byte_budget> Budget)
      : Socket(Context), Timer(Context), Endpoint(parseTcpAddress(Address)),
        Budget(std::move(Budget)) {}

  ~state() { releaseBytes(); }

  /// Awaits a response from here on.
  void resetParser() {
    Parser.emplace();
    Parser->body_limit(MaxResponseBytes);
    Parser->eager(true);
    // The response to HEAD states a length and has no body.
    Parser->skip(Request.method() == http::verb::head);
  }

  void start(http_request NewRequest, std::chrono::milliseconds Timeout) {
    try {
      Request = internal::toBeast(std::move(NewRequest));
    } catch (const std::exception &) {
      // A field that can't be written ends this exchange alone.
      return post([](state &Self) {
        Self.fail(/*MayHaveRun=*/false, boost::asio::error::invalid_argument);
      });
    }
    Serializer.emplace(Request);
    resetParser();
    Deadline = std::chrono::steady_clock::now() + Timeout;
    Released = false;
    GivenUp = false;
    if (usable()) {
      expireAt(Deadline);
      return write();
    }
    Socket.close(Ignored);
    Buffer.clear();
    connect(std::min(Timeout, ConnectTimeout));
  }

  void connect(std::chrono::milliseconds Timeout) {
    expireAt(std::chrono::steady_clock::now() + Timeout);
    Socket.async_connect(Endpoint, [Self = shared_from_this()](
                                       const boost::system::error_code &E) {
      if (E)
        return Self->fail(/*MayHaveRun=*/false, E);
      Self->Open = true;
      internal::setTcpOptions(Self->Socket);
      boost::system::error_code Refused;
      Self->Socket.non_blocking(true, Refused);
      if (Refused)
        return Self->fail(/*MayHaveRun=*/false, Refused);
      Self->expireAt(Self->Deadline);
      Self->write();
    });
  }

  // Most requests fit into the socket's buffer, and most responses come whole:
  // each then takes one system call and one turn of the loop.
  void write() {
    boost::system::error_code Error;
    http::write(Socket, *Serializer, Error);
    if (Error == boost::asio::error::would_block)
      return writeRest();
    if (Error)
      return post([Error](state &Self) { Self.fail(true, Error); });
    awaitResponse();
  }

  void writeRest() {
    http::async_write(Socket, *Serializer,
                      [Self = shared_from_this()](
                          const boost::system::error_code &E, std::size_t) {
                        if (E)
                          return Self->fail(/*MayHaveRun=*/true, E);
                        Self->awaitResponse();
                      });
  }

  void awaitResponse() {
    Socket.async_wait(
        tcp::socket::wait_read,
        [Self = shared_from_this()](const boost::system::error_code &E) {
          if (E)
            return Self->fail(/*MayHaveRun=*/true, E);
          Self->read();
        });
  }

  void read() {
    boost::system::error_code Error;
    std::size_t Bytes = Socket.read_some(Buffer.prepare(FirstReadBytes), Error);
    if (Error == boost::asio::error::would_block)
      return awaitResponse();
    // An end of the connection may be the end of the response; a reset is not,
    // and the next read would no longer tell it.
    if (Error == boost::asio::error::eof)
      return readRest();
    if (Error)
      return fail(/*MayHaveRun=*/true, Error);
    Buffer.commit(Bytes);
    parse();
  }

  /// Takes what has come already.
  void parse() {
    boost::system::error_code Error;
    Buffer.consume(Parser->put(Buffer.data(), Error));
    if (Error && Error != http::error::need_more)
      return fail(/*MayHaveRun=*/true, Error);
    if (Parser->is_done())
      return succeed();
    readRest();
  }

  /// Reads on after an interim response, as the final one follows it.
  void readNext() {
    resetParser();
    if (Buffer.size() == 0)
      return readRest();
    parse();
  }

  void readRest() {
    http::async_read_some(Socket, Buffer, *Parser,
                          [Self = shared_from_this()](
                              const boost::system::error_code &E, std::size_t) {
                            if (E)
                              return Self->fail(/*MayHaveRun=*/true, E);
                            Self->readOn();
                          });
  }

  void readOn() {
    if (Parser->is_done())
      return succeed();
    if (!holdBytes())
      return fail(/*MayHaveRun=*/true, http::error::body_limit);
    readRest();
  }

  /// Takes what was read so far from the budget. \returns whether it was there.
  bool holdBytes() {
    std::size_t Needed = Parser->get().body().capacity() + Buffer.capacity();
    if (Needed <= FreeBytes + Held.Bytes)
      return true;
    // A connection is not worth the bytes that others need.
    if (Released)
      return false;
    if (!Budget)
      return true;
    if (!Held.End)
      Held.End = [Weak = weak_from_this()] {
        if (auto Self = Weak.lock())
          Self->giveUp();
      };
    return Budget->take(Held, Needed - FreeBytes - Held.Bytes);
  }

  /// Ends the exchange under way, as others need the bytes that it holds.
  void giveUp() {
    GivenUp = true;
    releaseBytes();
    close();
  }

  void release() {
    Released = true;
    if (Held.Bytes > 0)
      close();
  }

  void releaseBytes() {
    if (Budget)
      Budget->giveBack(Held);
  }

  void succeed() {
    const auto &Message = Parser->get();
    if (isInterim(Message.result_int()))
      return readNext();
    if (!isFinal(Message.result_int()))
      return fail(/*MayHaveRun=*/true, http::error::bad_status);
    if (!internal::isFramedClearly(Message, Message.version()))
      return fail(/*MayHaveRun=*/true, http::error::bad_transfer_encoding);
    http_response Response = internal::fromBeast(Parser->release());
    // What follows a response before the next request belongs to none.
    if (Response.Close || Buffer.size() > 0)
      close();
    finish(std::move(Response));
  }

  void fail(bool MayHaveRun, const boost::system::error_code &Error) {
    close();
    bool Closed = Error == boost::asio::error::eof ||
                  Error == boost::asio::error::connection_reset ||
                  Error == boost::asio::error::broken_pipe ||
                  Error == http::error::end_of_stream ||
                  Error == http::error::partial_message;
    bool Refused = Error == boost::asio::error::connection_refused;
    std::string Reason = Error.message();
    if (GivenUp)
      Reason = "others need the memory that the response takes";
    if (TimedOut)
      Reason = "timeout";
    finish(exchange_error{MayHaveRun, std::move(Reason), Closed, Refused,
                          TimedOut});
  }

  void finish(exchange_result Result) {
    Timer.cancel();
    // Nothing of this exchange stays until the next one.
    if (std::holds_alternative<exchange_error>(Result))
      Parser.reset();
    Serializer.reset();
    Request = {};
    if (Buffer.capacity() > FirstReadBytes) {
      Buffer.clear();
      Buffer.shrink_to_fit();
    }
    releaseBytes();
    if (auto Callback = std::exchange(Done, nullptr))
      Callback(std::move(Result));
  }

  /// Ends the step under way at \p Time, as an error.
  void expireAt(std::chrono::steady_clock::time_point Time) {
    TimedOut = false;
    Timer.expires_at(Time);
    Timer.async_wait(
        [Self = shared_from_this()](const boost::system::error_code &E) {
          bool Due = !E && Self->Done &&
                     Self->Timer.expiry() <= std::chrono::steady_clock::now();
          if (!Due)
            return;
          Self->TimedOut = true;
          Self->Socket.close(Self->Ignored);
        });
  }

  template <typename Task> void post(Task Run) {
    boost::asio::post(Socket.get_executor(),
                      [Self = shared_from_this(), Run] { Run(*Self); });
  }

  void close() {
    Open = false;
    Socket.close(Ignored);
  }

  /// Whether the kept-alive connection is still open at the other end.
  bool usable() {
    if (!Open)
      return false;
    Open = internal::peek(Socket) == boost::asio::error::would_block;
    return Open;
  }

  tcp::socket Socket;
  boost::asio::steady_timer Timer;
  tcp::endpoint Endpoint;
  std::shared_ptr<byte_budget> Budget;
  byte_budget::holder Held;
  boost::beast::flat_buffer Buffer{MaxBufferedBytes};
  internal::beast_request Request;
  std::optional<http::request_serializer<http::string_body>> Serializer;
  std::optional<http::response_parser<http::string_body>> Parser;
  std::function<void(exchange_result)> Done;
  std::chrono::steady_clock::time_point Deadline;
  bool Open = false;
  bool TimedOut = false;
  /// The exchange under way was ended by giveUp().
  bool GivenUp = false;
  /// Nobody waits for the response.
  bool Released = false;
  /// Of closing, which leaves no connection whatever it says.
  boost::system::error_code Ignored;
};

http_connection::http_connection(boost::asio::io_context &Context,
                                 std::string_view Address,
                                 std::shared_ptr<byte_budget> Budget)
    : State(std::make_shared<state>(Context, Address, std::move(Budget))) {}

http_connection::~http_connection() { close(); }

void http_connection::exchange(http_request Request,
                               std::chrono::milliseconds Timeout,
                               std::function<void(exchange_result)> Done) {
  State->Done = std::move(Done);
  State->start(std::move(Request), Timeout);
}

void http_connection::release() { State->release(); }

bool http_connection::warm() const { return State->Open; }

void http_connection::close() { State->close(); }
