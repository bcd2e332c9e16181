#ifndef MASTICPROXY_NET_HTTP_REQUEST_PARSER_H
#define MASTICPROXY_NET_HTTP_REQUEST_PARSER_H

#include "masticproxy/src/Net/http_message.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <optional>

namespace masticproxy::internal {

/// Reads one request, without a socket.
using http_request_parser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;

/// Bounds the header at \p HeaderBytes and the body at \p BodyBytes.
void setLimits(http_request_parser &Parser, std::size_t HeaderBytes,
               std::size_t BodyBytes);

/// \returns the response to a header that took too long.
std::optional<http_response> lateHeader();

/// \returns the response to a request for which there is no memory now.
http_response noRoom();

/// \returns the response to a whole request that no server may take; nothing
/// where it is in order.
std::optional<http_response> refusalOf(const http_request_parser::value_type &);

/// \returns the response to bytes that are no request or one above the limits;
/// nothing where \p Error means that the connection ended.
std::optional<http_response>
rejectionOf(const boost::system::error_code &Error);

} // namespace masticproxy::internal

#endif
