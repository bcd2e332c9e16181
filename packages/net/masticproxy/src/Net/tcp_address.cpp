#include "masticproxy/src/Net/tcp_address.h"

#include <charconv>
#include <stdexcept>
#include <string>

using namespace masticproxy;

boost::asio::ip::tcp::endpoint
masticproxy::parseTcpAddress(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  std::string Host(Text.substr(0, Colon));
  if (Host.size() > 2 && Host.front() == '[')
    Host = Host.substr(1, Host.size() - 2);
  boost::system::error_code Error;
  auto Number = boost::asio::ip::make_address(Host, Error);
  std::uint16_t Port = 0;
  bool Good = Colon != std::string_view::npos && !Error;
  if (Good) {
    const char *End = Text.data() + Text.size();
    auto [Stop, Bad] = std::from_chars(Text.data() + Colon + 1, End, Port);
    Good = Bad == std::errc() && Stop == End;
  }
  if (!Good)
    throw std::invalid_argument("no IP number and port: " + std::string(Text));
  return {Number, Port};
}
