#ifndef MASTICPROXY_SOAK_FAULT_LINK_H
#define MASTICPROXY_SOAK_FAULT_LINK_H

#include "link_mode.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <list>
#include <memory>
#include <string_view>

namespace masticproxy::soak {

class link_session;

/// \brief A loopback proxy of one address that can do harm to connections.
///
/// All calls come from the thread of its io_context.
class fault_link {
public:
  /// Listens at \p Address (port 0 lets the system choose) and connects on to
  /// \p Target.
  fault_link(boost::asio::io_context &Context, std::string_view Address,
             std::string_view Target);
  ~fault_link();
  fault_link(const fault_link &) = delete;
  fault_link &operator=(const fault_link &) = delete;

  /// \returns the port it listens on.
  std::uint16_t port() const { return Acceptor.local_endpoint().port(); }

  /// Goes over to \p NewMode, for open connections and new ones.
  void setMode(link_mode NewMode);

private:
  void accept();
  void take(boost::asio::ip::tcp::socket Caller);

  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::ip::tcp::endpoint Target;
  link_mode Mode = link_mode::Open;
  std::list<std::weak_ptr<link_session>> Sessions;
};

} // namespace masticproxy::soak

#endif
