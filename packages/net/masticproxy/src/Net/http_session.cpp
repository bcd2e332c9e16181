#include "masticproxy/src/Net/http_session.h"

#include "masticproxy/src/Net/socket_peek.h"
#include "masticproxy/src/Net/tcp_options.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>

using namespace masticproxy;
using namespace masticproxy::internal;
namespace http = boost::beast::http;

namespace {

/// How long, and how far, a rejected request is read before its connection is
/// closed.
constexpr std::chrono::seconds RejectedReadTime{2};
constexpr std::size_t MaxRejectedBytes = 16U << 20U;

/// Read at first; headers are shorter, and each connection keeps so much.
constexpr std::size_t FirstReadBytes = 4096;

/// Most bytes read and not yet understood, besides a header: a chunk's size and
/// extensions, or a trailer, which have no other limit.
constexpr std::size_t MaxBufferedBytes = 64U << 10U;

/// Bytes of a connection that its server does not count: most requests are
/// shorter, and are served also where others take all memory.
constexpr std::size_t FreeBytes = 8U << 10U;

/// What a header field takes once it is read, besides its text: in the parser,
/// and in the request that is handed on.
constexpr std::size_t FieldBytes = 224;

/// Most that is held for a header that has not come whole.
constexpr std::size_t MostPartialHeader = 64U << 10U;

/// \returns the part of \p Bytes that the server counts.
std::size_t countedOf(std::size_t Bytes) {
  return Bytes - std::min(Bytes, FreeBytes);
}

/// \returns about what the fields of \p Request take.
std::size_t bytesOfHeader(const http_request_parser::value_type &Request) {
  std::size_t Bytes = Request.target().size();
  for (const auto &Field : Request)
    Bytes +=
        2 * (Field.name_string().size() + Field.value().size()) + FieldBytes;
  return Bytes;
}

} // namespace

http_session::http_session(boost::asio::ip::tcp::socket Socket,
                           std::shared_ptr<session_rules> Rules)
    : Stream(std::move(Socket)), Rules(std::move(Rules)),
      Timer(Stream.get_executor()) {
  setTcpOptions(Stream.socket());
}

template <typename StepType> auto http_session::unlessClosed(StepType Step) {
  return [Self = shared_from_this(),
          Step](const boost::system::error_code &Error, auto... Rest) {
    if (!Self->Closed)
      Step(*Self, Error, Rest...);
  };
}

http_session::~http_session() {
  endWait();
  release();
}

void http_session::start() {
  if (Rules->Limits.SetupDelay.count() == 0)
    return read();
  IdleSince = std::chrono::steady_clock::now();
  Timer.expires_after(Rules->Limits.SetupDelay);
  Timer.async_wait(unlessClosed(
      [](http_session &Self, const boost::system::error_code &Error) {
        if (!Error)
          Self.read();
      }));
}

void http_session::closeWhenIdle() {
  Closing = true;
  // A request that has arrived is served, although none of it was read yet.
  if (IdleSince && !hasUnreadBytes())
    close();
}

void http_session::close() {
  Closed = true;
  IdleSince.reset();
  Timer.cancel();
  endWait();
  release();
  boost::system::error_code Ignored;
  Stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_both,
                           Ignored);
  Stream.close();
}

bool http_session::hasUnreadBytes() { return !peek(Stream.socket()); }

void http_session::read() {
  HeaderLate = false;
  Method = boost::beast::http::verb::unknown;
  // A caller may send its next request early.
  if (Buffer.size() > 0)
    return parseBuffered();
  IdleSince = std::chrono::steady_clock::now();
  awaitIdleEnd();
  Stream.expires_never();
  awaitBytes();
}

// Waits without reading: bytes that a read has taken, but whose handler has not
// had its turn, could not be told from an idle connection.
void http_session::awaitBytes() {
  if (std::exchange(AwaitsBytes, true))
    return;
  Stream.socket().async_wait(
      boost::asio::ip::tcp::socket::wait_read,
      unlessClosed(
          [](http_session &Self, const boost::system::error_code &Error) {
            Self.AwaitsBytes = false;
            if (!Error)
              Self.onReadable();
          }));
}

void http_session::onReadable() {
  if (Busy)
    return checkCaller();
  if (IdleSince)
    readAvailable();
}

void http_session::readAvailable() {
  boost::system::error_code Error;
  // Asked for first, as setting it is a system call.
  if (!Stream.socket().non_blocking())
    Stream.socket().non_blocking(true, Error);
  std::size_t Bytes =
      Stream.socket().read_some(Buffer.prepare(FirstReadBytes), Error);
  if (Error == boost::asio::error::would_block)
    return awaitBytes();
  if (Error)
    return close();
  IdleSince.reset();
  Timer.cancel();
  Buffer.commit(Bytes);
  parseBuffered();
}

void http_session::awaitIdleEnd() {
  Timer.expires_at(*IdleSince + Rules->Limits.IdleTimeout);
  Timer.async_wait(unlessClosed([](http_session &Self,
                                   const boost::system::error_code &Error) {
    if (Error || !Self.IdleSince)
      return;
    // Callers go by the limits in force now, not by those of then.
    Self.Rules->renewLimits();
    if (Self.Timer.expiry() < *Self.IdleSince + Self.Rules->Limits.IdleTimeout)
      return Self.awaitIdleEnd();
    if (!Self.hasUnreadBytes())
      Self.close();
  }));
}

void http_session::parseBuffered() {
  Rules->renewLimits();
  Parser.emplace();
  setLimits(*Parser, Rules->Limits.HeaderBytes, Rules->Limits.BodyBytes);
  // The limits may have shrunk since what it holds was read.
  Buffer.max_size(std::max(Rules->Limits.HeaderBytes + MaxBufferedBytes,
                           Buffer.size() + FirstReadBytes));
  boost::system::error_code Error;
  Parser->eager(true);
  Buffer.consume(Parser->put(Buffer.data(), Error));
  bool HeaderMissing = Error == http::error::need_more;
  if (HeaderMissing)
    return readHeader();
  // Most requests come whole, so that no further read is needed.
  if (Error || Parser->is_done())
    return onRead(Error);
  startBody();
}

void http_session::readHeader() {
  if (!hold(std::min(Rules->Limits.HeaderBytes, MostPartialHeader)))
    return reject(noRoom());
  beginWait();
  Stream.expires_never();
  Timer.expires_after(Rules->Limits.HeaderTimeout);
  Timer.async_wait(unlessClosed(
      [](http_session &Self, const boost::system::error_code &Error) {
        if (Error)
          return;
        Self.HeaderLate = true;
        Self.Stream.cancel();
      }));
  http::async_read_header(
      Stream, Buffer, *Parser,
      unlessClosed([](http_session &Self,
                      const boost::system::error_code &Error, std::size_t) {
        Self.Timer.cancel();
        if (Error || Self.Parser->is_done())
          return Self.onRead(Error);
        Self.startBody();
      }));
}

void http_session::startBody() {
  // For the whole body: one that trickles in must not hold a connection.
  Stream.expires_after(Rules->Limits.IdleTimeout);
  Parser->eager(true);
  HeaderBytes = bytesOfHeader(Parser->get());
  readBody();
}

void http_session::readBody() {
  if (!hold(requestBytes()))
    return reject(noRoom());
  beginWait();
  http::async_read_some(
      Stream, Buffer, *Parser,
      unlessClosed([](http_session &Self,
                      const boost::system::error_code &Error, std::size_t) {
        if (Error || Self.Parser->is_done())
          return Self.onRead(Error);
        Self.readBody();
      }));
}

std::size_t http_session::requestBytes() const {
  return Buffer.capacity() + HeaderBytes + Parser->get().body().capacity();
}

bool http_session::hold(std::size_t Bytes) {
  std::size_t Counted = countedOf(Bytes);
  if (Counted <= HeldBytes) {
    Rules->Memory->giveBack(HeldBytes - Counted);
    HeldBytes = Counted;
    return true;
  }
  auto Now = std::chrono::steady_clock::now();
  if (!Rules->Memory->take(Counted - HeldBytes, Now, Wait))
    return false;
  HeldBytes = Counted;
  return true;
}

void http_session::release() {
  Rules->Memory->giveBack(std::exchange(HeldBytes, 0));
}

void http_session::beginWait() {
  if (Wait)
    return;
  Wait = Rules->Memory->beginWait(std::chrono::steady_clock::now(),
                                  [Weak = weak_from_this()] {
                                    if (auto Self = Weak.lock())
                                      Self->close();
                                  });
}

void http_session::endWait() {
  if (Wait)
    Rules->Memory->endWait(*std::exchange(Wait, std::nullopt));
}

void http_session::reject(http_response Rejection) {
  Rejected = true;
  endWait();
  Parser.reset();
  respond(std::move(Rejection));
}

void http_session::onRead(const boost::system::error_code &Error) {
  auto Rejection = HeaderLate ? lateHeader() : rejectionOf(Error);
  if (Rejection)
    return reject(std::move(*Rejection));
  if (Error)
    return close();
  if (auto Refusal = refusalOf(Parser->get()))
    return reject(std::move(*Refusal));
  HeaderBytes = bytesOfHeader(Parser->get());
  if (!hold(requestBytes()))
    return reject(noRoom());
  endWait();
  Busy = true;
  Stream.expires_never();
  // Taken before the request is moved out.
  KeepAlive = Parser->keep_alive();
  Method = Parser->get().method();
  http_request Request = fromBeast(Parser->release());
  Serial = Request.Serial = ++Rules->LastSerial;
  if (Rules->CallerGone)
    awaitBytes();
  handle(std::move(Request));
}

void http_session::handle(http_request Request) {
  try {
    Rules->Handler(std::move(Request),
                   [Self = shared_from_this()](http_response Response) {
                     Self->respond(std::move(Response));
                   });
  } catch (...) {
    // What failed is this connection, not the server.
    close();
    throw;
  }
}

void http_session::checkCaller() {
  boost::system::error_code Error = peek(Stream.socket());
  // Another read has taken the bytes that ended the wait.
  if (Error == boost::asio::error::would_block)
    return awaitBytes();
  // A further request is read after the response.
  if (!Error)
    return;
  Rules->CallerGone(Serial);
  close();
}

void http_session::respond(http_response Response) {
  if (Closed)
    return;
  // The parser knows of no keep-alive before it has read a whole header.
  bool Keep = !Closing && !Rejected && KeepAlive;
  Out = toBeast(std::move(Response), Keep, Method);
  // What the request took is given back. A response that is ready is sent.
  release();
  HeldBytes = countedOf(Out->body().size());
  Rules->Memory->takeAnyway(HeldBytes, std::chrono::steady_clock::now());
  beginWait();
  Stream.expires_after(Rules->Limits.IdleTimeout);
  http::async_write(
      Stream, *Out,
      unlessClosed([](http_session &Self,
                      const boost::system::error_code &Error, std::size_t) {
        Self.Busy = false;
        Self.endWait();
        Self.release();
        if (!Error && Self.Rejected)
          return Self.readOutRejected();
        // Not by Closing: a response that promised to keep the connection may
        // have been on its way when that was set.
        if (Error || !Self.Out->keep_alive())
          return Self.close();
        Self.read();
      }));
}

void http_session::readOutRejected() {
  // Closing with bytes unread would reset the connection, and the caller could
  // lose the response that says why.
  boost::system::error_code Ignored;
  Stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send,
                           Ignored);
  Stream.expires_after(RejectedReadTime);
  Buffer.clear();
  Buffer.shrink_to_fit();
  discard(0);
}

void http_session::discard(std::size_t Already) {
  if (Already > MaxRejectedBytes)
    return close();
  Stream.async_read_some(
      boost::asio::buffer(Rules->Discarded),
      unlessClosed([Already](http_session &Self,
                             const boost::system::error_code &Error,
                             std::size_t Bytes) {
        if (Error)
          return Self.close();
        Self.discard(Already + Bytes);
      }));
}
