#include "masticproxy/src/Net/held_call.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

using namespace masticproxy;

// One probe is enough: what the other end got while it answers is answered
// later, also if it is silent in between.
exchange_result masticproxy::heldCall(std::string_view Address,
                                      http_request Request,
                                      std::chrono::milliseconds Timeout,
                                      call_probe Probe,
                                      const std::stop_token &Stop) {
  exchange_result Result = exchange_error{true, "stopped"};
  boost::asio::io_context Context;
  http_connection Held(Context, Address);
  http_connection Probing(Context, Address);
  auto End = [&](exchange_result R) {
    Result = std::move(R);
    Context.stop();
  };
  Held.exchange(std::move(Request), Timeout, End);
  boost::asio::steady_timer Timer(Context, Probe.After);
  Timer.async_wait([&](const boost::system::error_code &) {
    Probing.exchange(std::move(Probe.Request), Probe.Timeout,
                     [&](const exchange_result &Answer) {
                       if (std::holds_alternative<exchange_error>(Answer))
                         End(exchange_error{true, "silent when it was called"});
                     });
  });
  std::stop_callback OnStop(Stop, [&Context] { Context.stop(); });
  Context.run();
  return Result;
}
