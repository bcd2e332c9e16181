#ifndef MASTICPROXY_DAEMON_RELAY_LINK_H
#define MASTICPROXY_DAEMON_RELAY_LINK_H

#include "masticproxy/src/Daemon/relay_links.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace masticproxy::internal {

class relay_connection;

/// \brief The attempts that this VM has sent to one VM of another data centre.
///
/// Every attempt ends in exactly one event for the engine.
class relay_link {
public:
  relay_link(relay_links &Links, std::string PeerAddress);
  ~relay_link();
  relay_link(const relay_link &) = delete;
  relay_link &operator=(const relay_link &) = delete;

  /// Sends an attempt, connecting first where needed.
  void send(const send_relay &Command);

  /// Tells the other VM that an attempt is not needed, if it is open here.
  void cancel(attempt_id Attempt);

  /// Ends what is overdue and asks a silent VM for a sign of life.
  void tick();

  /// \returns whether nothing was asked for so long that the link may go.
  bool idle() const;

private:
  struct open_attempt {
    std::string RequestId;
    time_point Deadline;
    bool Written = false;
  };

  void connect();
  void receive(relay_message Message);
  bool beforeWrite(relay_message &Message);
  void answer(const relay_result &Message);
  void fail(attempt_id Attempt, relay_end End);
  void loseAll(relay_end Written);
  void endOverdue();
  void checkSilence();

  relay_links &Links;
  std::string PeerAddress;
  std::shared_ptr<relay_connection> Connection;
  std::unordered_map<attempt_id, open_attempt> Open;
  time_point LastUsed;
  time_point LastHeard;
  time_point PingedAt;
  bool Pinged = false;
};

} // namespace masticproxy::internal

#endif
