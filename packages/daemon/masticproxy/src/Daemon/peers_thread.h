#ifndef MASTICPROXY_DAEMON_PEERS_THREAD_H
#define MASTICPROXY_DAEMON_PEERS_THREAD_H

#include "masticproxy/src/Daemon/daemon_rings.h"
#include "masticproxy/src/Daemon/loop_thread.h"

#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <memory>
#include <string>

namespace masticproxy {

class counter_registry;
class hybrid_clock;
class relay_thread;
struct peer_frame;

namespace internal {
class peer_receiver;
class peer_sender;
} // namespace internal

/// \brief Carries frames between this VM and its peers over TCP.
///
/// Each VM opens one connection to each peer for what it says, and reads what
/// peers say from the connections that they open.
class peers_thread {
public:
  /// Frames carry the time of \p Timeline, which learns that of its peers.
  peers_thread(std::string Address, hybrid_clock &Timeline,
               counter_registry &Counters);
  ~peers_thread();

  /// Sets the ring that received messages go to; before start().
  void connect(peer_inbox_ring &NewControl) { Control = &NewControl; }

  /// Sets who takes over connections that carry relayed attempts; before
  /// start().
  void handOverRelaysTo(relay_thread &NewRelay) { Relay = &NewRelay; }

  peer_outbox_ring &outbox() { return Outbox; }

  /// Listens and starts. \throws std::runtime_error where it can't listen.
  void start();
  void stop();

private:
  void accept();
  void send(const send_to_peer &Command);
  void receive(const peer_frame &Frame);

  std::string Address;
  hybrid_clock &Timeline;
  counter_registry &Counters;
  loop_thread Loop;
  boost::asio::ip::tcp::acceptor Acceptor;
  peer_outbox_ring Outbox;
  peer_inbox_ring *Control = nullptr;
  relay_thread *Relay = nullptr;
  std::map<std::string, std::shared_ptr<internal::peer_sender>> Senders;
};

} // namespace masticproxy

#endif
