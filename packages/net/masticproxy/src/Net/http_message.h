#ifndef MASTICPROXY_NET_HTTP_MESSAGE_H
#define MASTICPROXY_NET_HTTP_MESSAGE_H

#include "masticproxy/src/Query/forwarded_request.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace masticproxy {

/// Header fields in order; names are lower case.
using http_headers = header_list;

/// \returns the first value of the field \p Name (lower case), or "".
std::string_view findHeader(const http_headers &Headers, std::string_view Name);

/// \brief An HTTP request.
struct http_request {
  std::string Method = "GET";
  /// Path and query string.
  std::string Target = "/";
  http_headers Headers;
  std::string Body;
  /// Number of the request within its server; 0 for requests sent.
  std::uint64_t Serial = 0;
};

/// \brief An HTTP response.
struct http_response {
  unsigned Status = 200;
  http_headers Headers;
  std::string Body;
  /// Close the connection once this is sent.
  bool Close = false;
};

/// \returns the path of \p Target, without the query string.
std::string_view targetPath(std::string_view Target);

/// \returns the decoded value of \p Key in the query string of \p Target, or
/// "".
std::string targetParameter(std::string_view Target, std::string_view Key);

/// \returns \p Text with all but unreserved characters percent-encoded.
std::string percentEncoded(std::string_view Text);

/// \returns \p Text with percent escapes replaced; a broken one stays.
std::string percentDecoded(std::string_view Text);

} // namespace masticproxy

#endif
