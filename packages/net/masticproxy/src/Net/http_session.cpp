#include "masticproxy/src/Net/http_session.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

using namespace masticproxy;
using namespace masticproxy::internal;
namespace http = boost::beast::http;

namespace {

/// How long, and how far, a rejected request is read before its connection is
/// closed.
constexpr std::chrono::seconds RejectedReadTime{2};
constexpr std::size_t MaxRejectedBytes = 16U << 20U;
constexpr std::size_t RejectedChunkBytes = 65536;

} // namespace

http_session::http_session(boost::asio::ip::tcp::socket Socket,
                           const http_server_limits &Limits,
                           http_server::handler Handler)
    : Stream(std::move(Socket)), Limits(Limits), Handler(std::move(Handler)),
      SetupTimer(Stream.get_executor()) {
  boost::system::error_code Ignored;
  Stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), Ignored);
}

http_session::~http_session() = default;

void http_session::start() {
  if (Limits.SetupDelay.count() == 0)
    return read();
  SetupTimer.expires_after(Limits.SetupDelay);
  SetupTimer.async_wait(
      [Self = shared_from_this()](const boost::system::error_code &Error) {
        if (!Error)
          Self->read();
      });
}

void http_session::closeWhenIdle() {
  Closing = true;
  if (!Busy)
    close();
}

void http_session::close() {
  boost::system::error_code Ignored;
  Stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_both,
                           Ignored);
  Stream.close();
}

void http_session::read() {
  Parser.emplace();
  setLimits(*Parser, Limits.BodyBytes);
  Stream.expires_after(Limits.IdleTimeout);
  http::async_read(
      Stream, Buffer, *Parser,
      [Self = shared_from_this()](const boost::system::error_code &Error,
                                  std::size_t) { Self->onRead(Error); });
}

void http_session::onRead(const boost::system::error_code &Error) {
  if (auto Rejection = rejectionOf(Error)) {
    Rejected = true;
    return respond(std::move(*Rejection));
  }
  if (Error)
    return close();
  Busy = true;
  Stream.expires_never();
  Handler(fromBeast(Parser->release()),
          [Self = shared_from_this()](http_response Response) {
            Self->respond(std::move(Response));
          });
}

void http_session::respond(http_response Response) {
  // The parser knows of no keep-alive before it has read a whole header.
  bool KeepAlive = !Closing && !Rejected && Parser->keep_alive();
  Out = toBeast(std::move(Response), KeepAlive);
  Stream.expires_after(Limits.IdleTimeout);
  http::async_write(Stream, *Out,
                    [Self = shared_from_this()](
                        const boost::system::error_code &Error, std::size_t) {
                      Self->Busy = false;
                      if (!Error && Self->Rejected)
                        return Self->readOutRejected();
                      if (Error || !Self->Out->keep_alive() || Self->Closing)
                        return Self->close();
                      Self->read();
                    });
}

void http_session::readOutRejected() {
  // Closing with bytes unread would reset the connection, and the caller could
  // lose the response that says why.
  boost::system::error_code Ignored;
  Stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send,
                           Ignored);
  Stream.expires_after(RejectedReadTime);
  Buffer.clear();
  discard(0);
}

void http_session::discard(std::size_t Already) {
  if (Already > MaxRejectedBytes)
    return close();
  Stream.async_read_some(
      Buffer.prepare(RejectedChunkBytes),
      [Self = shared_from_this(),
       Already](const boost::system::error_code &Error, std::size_t Bytes) {
        if (Error)
          return Self->close();
        Self->discard(Already + Bytes);
      });
}
