#include "masticproxy/src/Net/tcp_options.h"

#include <boost/asio/detail/socket_option.hpp>

#include <netinet/tcp.h>

using namespace masticproxy;
using boost::asio::ip::tcp;

namespace {

/// A connection that died without a reset is found out in about four seconds.
constexpr int KeepAliveIdleSeconds = 2;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;

/// Longest time that sent bytes may stay without acknowledgement.
constexpr int UserTimeoutMs = 4000;

template <int Name>
using tcp_option =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

} // namespace

void internal::setTcpOptions(tcp::socket &Socket) {
  boost::system::error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  Socket.set_option(boost::asio::socket_base::keep_alive(true), Ignored);
  Socket.set_option(tcp_option<TCP_KEEPIDLE>(KeepAliveIdleSeconds), Ignored);
  Socket.set_option(tcp_option<TCP_KEEPINTVL>(KeepAliveIntervalSeconds),
                    Ignored);
  Socket.set_option(tcp_option<TCP_KEEPCNT>(KeepAliveProbes), Ignored);
  Socket.set_option(tcp_option<TCP_USER_TIMEOUT>(UserTimeoutMs), Ignored);
}
