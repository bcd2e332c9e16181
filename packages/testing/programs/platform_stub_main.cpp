/// \file
/// platform_stub ADDRESS: the platform's stand-in as a process.

#include "masticproxy/src/StandIns/platform_stub.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

using namespace masticproxy;

int main(int ArgCount, char **Args) {
  if (ArgCount != 2) {
    std::cerr << "usage: platform_stub ADDRESS\n";
    return 2;
  }
  try {
    boost::asio::io_context Context(1);
    boost::asio::signal_set Signals(Context, SIGTERM, SIGINT);
    Signals.async_wait([&](const auto &, int) { Context.stop(); });
    platform_stub Platform(Context, Args[1]);
    Context.run();
  } catch (const std::exception &Error) {
    std::cerr << "platform_stub: " << Error.what() << "\n";
    return 1;
  }
  return 0;
}
