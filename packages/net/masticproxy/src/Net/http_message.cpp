#include "masticproxy/src/Net/http_message.h"

#include <cctype>
#include <charconv>

using namespace masticproxy;

std::string_view masticproxy::findHeader(const http_headers &Headers,
                                         std::string_view Name) {
  for (const auto &[Key, Value] : Headers)
    if (Key == Name)
      return Value;
  return {};
}

std::string_view masticproxy::targetPath(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

std::string masticproxy::targetParameter(std::string_view Target,
                                         std::string_view Key) {
  std::size_t Mark = Target.find('?');
  if (Mark == std::string_view::npos)
    return {};
  std::string_view Rest = Target.substr(Mark + 1);
  while (!Rest.empty()) {
    std::string_view Pair = Rest.substr(0, Rest.find('&'));
    std::size_t Equals = Pair.find('=');
    if (Pair.substr(0, Equals) == Key && Equals != std::string_view::npos)
      return percentDecoded(Pair.substr(Equals + 1));
    if (Pair.size() == Rest.size())
      break;
    Rest.remove_prefix(Pair.size() + 1);
  }
  return {};
}

std::string masticproxy::percentEncoded(std::string_view Text) {
  constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string Out;
  for (char C : Text) {
    auto Byte = static_cast<unsigned char>(C);
    if (std::isalnum(Byte) != 0 ||
        std::string_view("-._~").find(C) != std::string_view::npos) {
      Out.push_back(C);
      continue;
    }
    Out.push_back('%');
    Out.push_back(Digits[Byte >> 4U]);
    Out.push_back(Digits[Byte & 15U]);
  }
  return Out;
}

std::string masticproxy::percentDecoded(std::string_view Text) {
  std::string Out;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    unsigned Byte = 0;
    if (Text[I] == '%' && I + 2 < Text.size()) {
      const char *First = Text.data() + I + 1;
      auto [Stop, Error] = std::from_chars(First, First + 2, Byte, 16);
      if (Error == std::errc() && Stop == First + 2) {
        Out.push_back(static_cast<char>(Byte));
        I += 2;
        continue;
      }
    }
    Out.push_back(Text[I]);
  }
  return Out;
}
