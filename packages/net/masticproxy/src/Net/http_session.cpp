#include "masticproxy/src/Net/http_session.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

using namespace masticproxy;
using namespace masticproxy::internal;
namespace http = boost::beast::http;

namespace {

constexpr std::uint32_t MaxHeaderBytes = 16384;

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
  Parser->body_limit(Limits.BodyBytes);
  Parser->header_limit(MaxHeaderBytes);
  Stream.expires_after(Limits.IdleTimeout);
  http::async_read(
      Stream, Buffer, *Parser,
      [Self = shared_from_this()](const boost::system::error_code &Error,
                                  std::size_t) { Self->onRead(Error); });
}

void http_session::onRead(const boost::system::error_code &Error) {
  if (Error == http::error::body_limit)
    return reject(413, "body_too_large");
  if (Error == http::error::header_limit)
    return reject(431, "header_too_large");
  bool Malformed =
      Error && Error.category() ==
                   http::make_error_code(http::error::bad_version).category();
  if (Malformed && Error != http::error::end_of_stream &&
      Error != http::error::partial_message)
    return reject(400, "malformed_http");
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
  bool KeepAlive = !Closing && Parser->keep_alive();
  Out = toBeast(std::move(Response), KeepAlive);
  Stream.expires_after(Limits.IdleTimeout);
  http::async_write(Stream, *Out,
                    [Self = shared_from_this()](
                        const boost::system::error_code &Error, std::size_t) {
                      Self->Busy = false;
                      if (Error || !Self->Out->keep_alive() || Self->Closing)
                        return Self->close();
                      Self->read();
                    });
}

void http_session::reject(unsigned Status, std::string_view Code) {
  http_response Response;
  Response.Status = Status;
  Response.Close = true;
  Response.Headers.emplace_back("content-type", "application/json");
  Response.Body = "{\"code\":\"" + std::string(Code) + "\"}\n";
  respond(std::move(Response));
}
