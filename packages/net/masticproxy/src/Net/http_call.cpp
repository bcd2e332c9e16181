#include "masticproxy/src/Net/http_call.h"

#include <boost/asio/io_context.hpp>

using namespace masticproxy;

exchange_result masticproxy::httpCall(std::string_view Address,
                                      http_request Request,
                                      std::chrono::milliseconds Timeout,
                                      const std::stop_token &Stop) {
  exchange_result Result = exchange_error{true, "stopped"};
  boost::asio::io_context Context;
  http_connection Connection(Context, Address);
  Connection.exchange(std::move(Request), Timeout, [&](exchange_result R) {
    Result = std::move(R);
    Connection.close();
  });
  std::stop_callback OnStop(Stop, [&Context] { Context.stop(); });
  Context.run();
  return Result;
}
