#ifndef MASTICPROXY_DAEMON_UPSTREAM_CHECK_H
#define MASTICPROXY_DAEMON_UPSTREAM_CHECK_H

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string_view>

namespace masticproxy {

/// Calls \p Done with whether something accepts connections at \p Address.
void checkUpstream(boost::asio::io_context &Context, std::string_view Address,
                   std::function<void(bool)> Done);

} // namespace masticproxy

#endif
