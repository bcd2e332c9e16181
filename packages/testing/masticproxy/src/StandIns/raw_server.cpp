#include "masticproxy/src/StandIns/raw_server.h"

#include <boost/asio/write.hpp>

#include <sstream>

using namespace masticproxy;
using boost::asio::ip::tcp;

raw_server::raw_server(std::string Start, std::string Then,
                       std::string_view Host)
    : Start(std::move(Start)), Then(std::move(Then)),
      Acceptor(Context, tcp::endpoint(boost::asio::ip::make_address(Host), 0)) {
  accept();
  Thread = std::thread([this] { Context.run(); });
}

raw_server::~raw_server() {
  Context.stop();
  Thread.join();
}

std::string raw_server::address() const {
  std::ostringstream Text;
  Text << Acceptor.local_endpoint();
  return Text.str();
}

void raw_server::accept() {
  Acceptor.async_accept(
      [this](const boost::system::error_code &Error, tcp::socket Socket) {
        if (Error)
          return;
        ++Count;
        Sockets.push_back(std::make_shared<tcp::socket>(std::move(Socket)));
        write(Sockets.back(), Start);
        accept();
      });
}

void raw_server::write(const std::shared_ptr<tcp::socket> &Socket,
                       const std::string &Bytes) {
  boost::asio::async_write(
      *Socket, boost::asio::buffer(Bytes),
      [this, Socket](const boost::system::error_code &Error, std::size_t) {
        if (!Error && !Then.empty())
          write(Socket, Then);
      });
}
