#include "masticproxy/src/Settings/address_text.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <cstdint>
#include <string>

using namespace masticproxy;

bool masticproxy::isAddressText(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return false;
  std::string Host(Text.substr(0, Colon));
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  boost::system::error_code Error;
  boost::asio::ip::make_address(Host, Error);
  std::string_view Digits = Text.substr(Colon + 1);
  std::uint16_t Port = 0;
  const char *End = Digits.data() + Digits.size();
  auto [Stop, Bad] = std::from_chars(Digits.data(), End, Port);
  return !Error && Bad == std::errc() && Stop == End;
}
