#ifndef MASTICPROXY_NET_SOCKET_PEEK_H
#define MASTICPROXY_NET_SOCKET_PEEK_H

#include <boost/asio/ip/tcp.hpp>

namespace masticproxy::internal {

/// \returns how a read of \p Socket would end now, without reading: success
/// where bytes wait, would_block where none came, else what closed it.
boost::system::error_code peek(boost::asio::ip::tcp::socket &Socket);

} // namespace masticproxy::internal

#endif
