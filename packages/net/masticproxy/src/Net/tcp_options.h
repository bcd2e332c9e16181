#ifndef MASTICPROXY_NET_TCP_OPTIONS_H
#define MASTICPROXY_NET_TCP_OPTIONS_H

#include <boost/asio/ip/tcp.hpp>

namespace masticproxy::internal {

/// Lets \p Socket send at once, and fail where the other end is silent for
/// seconds. What the system does not know of stays as it is.
void setTcpOptions(boost::asio::ip::tcp::socket &Socket);

} // namespace masticproxy::internal

#endif
