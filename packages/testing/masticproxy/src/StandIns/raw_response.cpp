#include "masticproxy/src/StandIns/raw_response.h"

#include "masticproxy/Net"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <string>
#include <thread>

using namespace masticproxy;
using boost::asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds LongEnough{2000};

void serveOne(tcp::acceptor &Acceptor, std::string_view Bytes) {
  boost::asio::io_context Own;
  tcp::socket Socket(Own);
  Acceptor.accept(Socket);
  boost::asio::streambuf Request;
  boost::asio::read_until(Socket, Request, "\r\n\r\n");
  boost::asio::write(Socket, boost::asio::buffer(Bytes));
}

} // namespace

exchange_result masticproxy::readRawResponse(std::string_view Bytes) {
  boost::asio::io_context Context;
  tcp::acceptor Acceptor(Context, {boost::asio::ip::address_v4::loopback(), 0});
  std::string Address =
      "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  std::thread Server([&] { serveOne(Acceptor, Bytes); });
  exchange_result Result = httpCall(Address, {}, LongEnough);
  Server.join();
  return Result;
}
