#ifndef MASTICPROXY_NET_HTTP_CONVERT_H
#define MASTICPROXY_NET_HTTP_CONVERT_H

#include "masticproxy/src/Base/ascii_case.h"
#include "masticproxy/src/Net/http_message.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace masticproxy::internal {

using beast_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using beast_response =
    boost::beast::http::response<boost::beast::http::string_body>;

/// Copies header fields out of a Beast message, names in lower case.
template <typename Message> http_headers headersOf(const Message &From) {
  http_headers Headers;
  for (const auto &Field : From) {
    Headers.emplace_back(lowerCase(std::string(Field.name_string())),
                         std::string(Field.value()));
  }
  return Headers;
}

/// \returns the Beast form of \p From.
beast_request toBeast(http_request From);

/// \returns the Beast form of \p From, the response to a request of \p Method.
/// Without a body where HTTP has none: to HEAD, and with some statuses.
beast_response toBeast(http_response From, bool KeepAlive,
                       boost::beast::http::verb Method);

/// \returns the plain form of \p From.
http_request fromBeast(beast_request From);

/// \returns the plain form of \p From.
http_response fromBeast(beast_response From);

} // namespace masticproxy::internal

#endif
