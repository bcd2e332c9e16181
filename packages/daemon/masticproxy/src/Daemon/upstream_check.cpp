#include "masticproxy/src/Daemon/upstream_check.h"

#include "masticproxy/src/Net/tcp_address.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>

using namespace masticproxy;

namespace {

/// A dying process may close its connections before it stops to listen.
constexpr std::chrono::milliseconds CheckDelay{2};

constexpr std::chrono::milliseconds CheckTimeout{100};

connection_check resultOf(const boost::system::error_code &Error) {
  if (!Error)
    return connection_check::Accepted;
  if (Error == boost::asio::error::connection_refused)
    return connection_check::Refused;
  return Error == boost::asio::error::connection_reset
             ? connection_check::Reset
             : connection_check::Silent;
}

} // namespace

void masticproxy::checkUpstream(boost::asio::io_context &Context,
                                std::string_view Address,
                                std::function<void(connection_check)> Done) {
  auto Timer = std::make_shared<boost::asio::steady_timer>(Context);
  Timer->expires_after(CheckDelay);
  Timer->async_wait(
      [&Context, Timer, Endpoint = parseTcpAddress(Address),
       Done = std::move(Done)](const boost::system::error_code &) {
        auto Stream = std::make_shared<boost::beast::tcp_stream>(Context);
        Stream->expires_after(CheckTimeout);
        Stream->async_connect(
            Endpoint, [Stream, Done](const boost::system::error_code &Error) {
              Done(resultOf(Error));
            });
      });
}
