#ifndef MASTICPROXY_DAEMON_RELAY_SESSION_H
#define MASTICPROXY_DAEMON_RELAY_SESSION_H

#include "masticproxy/src/Daemon/relay_links.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <string_view>

namespace masticproxy::internal {

class relay_connection;

/// \brief A connection over which a VM of another data centre asks this VM for
/// attempts.
class relay_session {
public:
  relay_session(relay_links &Links, std::uint64_t Id,
                boost::asio::ip::tcp::socket Socket);
  ~relay_session();
  relay_session(const relay_session &) = delete;
  relay_session &operator=(const relay_session &) = delete;

  /// Starts with \p Early, which was read already.
  void start(std::string_view Early);

  /// Sends an answer to the origin, if it is still there.
  void answer(const answer_relay &Command);

  /// \returns whether the session is over or unused for long.
  bool over() const;

private:
  void receive(relay_message Message);

  relay_links &Links;
  std::uint64_t Id;
  std::shared_ptr<relay_connection> Connection;
  time_point LastHeard;
  bool Lost = false;
};

} // namespace masticproxy::internal

#endif
