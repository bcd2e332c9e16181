#ifndef MASTICPROXY_NET_TCP_ADDRESS_H
#define MASTICPROXY_NET_TCP_ADDRESS_H

#include <boost/asio/ip/tcp.hpp>

#include <string_view>

namespace masticproxy {

/// \returns the end point written as IP number and port in \p Text.
/// \throws std::invalid_argument where it is none.
boost::asio::ip::tcp::endpoint parseTcpAddress(std::string_view Text);

} // namespace masticproxy

#endif
