#include "masticproxy/src/Daemon/end_to_end_headers.h"

#include "masticproxy/src/Base/ascii_case.h"
#include "masticproxy/src/Base/comma_list.h"

#include <algorithm>
#include <array>

using namespace masticproxy;

namespace {

constexpr std::array<std::string_view, 11> HopByHop = {"connection",
                                                       "keep-alive",
                                                       "proxy-connection",
                                                       "proxy-authenticate",
                                                       "proxy-authorization",
                                                       "te",
                                                       "trailer",
                                                       "transfer-encoding",
                                                       "upgrade",
                                                       "content-length",
                                                       "expect"};

std::string withoutBlanks(std::string Text) {
  std::erase_if(Text, [](char C) { return C == ' ' || C == '\t'; });
  return Text;
}

/// The fields that the message itself names as those of one connection.
std::vector<std::string> namedInConnection(const http_headers &Headers) {
  std::vector<std::string> Names;
  for (const auto &[Name, Value] : Headers)
    if (Name == "connection")
      for (const std::string &Part : splitCommaList(Value))
        Names.push_back(lowerCase(withoutBlanks(Part)));
  return Names;
}

} // namespace

http_headers masticproxy::endToEndHeaders(http_headers Headers) {
  std::vector<std::string> Named = namedInConnection(Headers);
  std::erase_if(Headers, [&](const auto &Field) {
    return std::find(HopByHop.begin(), HopByHop.end(), Field.first) !=
               HopByHop.end() ||
           std::find(Named.begin(), Named.end(), Field.first) != Named.end();
  });
  return Headers;
}
