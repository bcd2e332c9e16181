#ifndef MASTICPROXY_NET_TCP_LISTEN_H
#define MASTICPROXY_NET_TCP_LISTEN_H

#include <boost/asio/ip/tcp.hpp>

#include <string_view>

namespace masticproxy {

/// Lets \p Acceptor listen at \p Address (IP number and port; port 0 lets the
/// system choose). Waits for some seconds for an address that is in use: a
/// process that was killed can hold it a little longer than its successor takes
/// to start. \throws std::runtime_error where it can't.
void listenAt(boost::asio::ip::tcp::acceptor &Acceptor,
              std::string_view Address);

} // namespace masticproxy

#endif
