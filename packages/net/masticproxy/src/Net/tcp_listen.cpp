#include "masticproxy/src/Net/tcp_listen.h"

#include "masticproxy/src/Net/tcp_address.h"

#include <chrono>
#include <stdexcept>
#include <string>
#include <thread>

using namespace masticproxy;
using boost::asio::ip::tcp;

namespace {

/// Longest wait for an address that is in use, and the pause between two tries.
constexpr std::chrono::seconds LongestWait{10};
constexpr std::chrono::milliseconds TryPause{50};

boost::system::error_code tryListen(tcp::acceptor &Acceptor,
                                    const tcp::endpoint &Endpoint) {
  boost::system::error_code Error;
  Acceptor.open(Endpoint.protocol(), Error);
  if (!Error)
    Acceptor.set_option(tcp::acceptor::reuse_address(true), Error);
  if (!Error)
    Acceptor.bind(Endpoint, Error);
  if (!Error)
    Acceptor.listen(tcp::acceptor::max_listen_connections, Error);
  if (Error) {
    boost::system::error_code Ignored;
    Acceptor.close(Ignored);
  }
  return Error;
}

} // namespace

void masticproxy::listenAt(tcp::acceptor &Acceptor, std::string_view Address) {
  try {
    tcp::endpoint Endpoint = parseTcpAddress(Address);
    auto Latest = std::chrono::steady_clock::now() + LongestWait;
    boost::system::error_code Error = tryListen(Acceptor, Endpoint);
    while (Error == boost::asio::error::address_in_use &&
           std::chrono::steady_clock::now() < Latest) {
      std::this_thread::sleep_for(TryPause);
      Error = tryListen(Acceptor, Endpoint);
    }
    if (Error)
      throw boost::system::system_error(Error);
  } catch (const std::exception &Error) {
    throw std::runtime_error("can't listen at " + std::string(Address) + ": " +
                             Error.what());
  }
}
