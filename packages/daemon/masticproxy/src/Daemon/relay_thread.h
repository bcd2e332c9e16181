#ifndef MASTICPROXY_DAEMON_RELAY_THREAD_H
#define MASTICPROXY_DAEMON_RELAY_THREAD_H

#include "masticproxy/src/Daemon/loop_thread.h"
#include "masticproxy/src/Daemon/relay_links.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace masticproxy {

namespace internal {
class relay_link;
class relay_session;
} // namespace internal

/// \brief Carries attempts between this VM and VMs of other data centres, over
/// connections of their own.
class relay_thread {
public:
  relay_thread(const clock &Clock, hybrid_clock &Timeline,
               counter_registry &Counters, event_log &Events,
               std::string Origin, std::uint64_t Incarnation);
  ~relay_thread();

  /// Sets the ring that events go to; before start().
  void connect(relay_event_ring &NewEngine) { Engine = &NewEngine; }

  relay_command_ring &commands() { return Commands; }

  /// Takes a connection over that another thread accepted, with the bytes it
  /// has read from it.
  void adopt(boost::asio::ip::tcp::socket Socket, std::string Early);

  void start();
  void stop();

private:
  void carryOut(const send_relay &Command);
  void carryOut(const cancel_relay &Command);
  void carryOut(const answer_relay &Command);
  void startSession(boost::asio::ip::tcp::socket Socket,
                    const std::string &Early);
  void tick();

  loop_thread Loop;
  relay_links Links;
  boost::asio::steady_timer Timer;
  relay_command_ring Commands;
  relay_event_ring *Engine = nullptr;
  std::map<std::string, std::unique_ptr<internal::relay_link>> Outbound;
  std::unordered_map<std::uint64_t, std::unique_ptr<internal::relay_session>>
      Sessions;
  std::uint64_t NextSession = 1;
};

} // namespace masticproxy

#endif
