#ifndef MASTICPROXY_DAEMON_UPSTREAM_CHECK_H
#define MASTICPROXY_DAEMON_UPSTREAM_CHECK_H

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string_view>

namespace masticproxy {

/// What became of a new connection to an upstream.
enum class connection_check {
  Accepted,
  /// It was reset: the upstream holds as many connections as it takes.
  Reset,
  /// Nothing listens there.
  Refused,
  /// There was no response.
  Silent
};

/// Calls \p Done with what becomes of a new connection to \p Address.
void checkUpstream(boost::asio::io_context &Context, std::string_view Address,
                   std::function<void(connection_check)> Done);

} // namespace masticproxy

#endif
