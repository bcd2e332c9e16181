#ifndef MASTICPROXY_RELAY_RELAY_INBOX_H
#define MASTICPROXY_RELAY_RELAY_INBOX_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Query/query_outcome.h"
#include "masticproxy/src/Relay/relay_message.h"
#include "masticproxy/src/Relay/replay_window.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace masticproxy {

/// \brief The attempts that this VM runs for VMs of other data centres.
///
/// It takes each attempt at most once, whatever is doubled, late or out of
/// order, and turns the outcome into the message for its origin.
class relay_inbox {
public:
  /// Runs up to \p Limit attempts at a time.
  explicit relay_inbox(std::size_t Limit) : Limit(Limit) {}

  /// What to do with a request that has come in.
  struct admission {
    /// Names the run, where the request is to be run.
    std::optional<std::uint64_t> Ticket;
    /// The answer, where it is not; a doubled request gets none, because the
    /// first one's answer is still to come.
    std::optional<relay_message> Answer;
  };

  /// An answer and the connection that it goes to.
  struct reply {
    std::uint64_t Connection = 0;
    relay_message Message;
  };

  /// Decides about \p Request, which came over \p Connection.
  admission accept(const relay_request &Request, std::uint64_t Connection,
                   time_point Now);

  /// Notes a cancellation, also of a request that is still to come. \returns
  /// the ticket to end, where the attempt is under way.
  std::optional<std::uint64_t> cancel(const relay_cancel &Cancel,
                                      time_point Now);

  /// Ends the run named \p Ticket. \returns the answer for its origin.
  std::optional<reply> finish(std::uint64_t Ticket, query_outcome Outcome);

  /// Refuses all requests from here on.
  void leave() { Leaving = true; }

  /// \returns whether \p Ticket names a relayed attempt.
  static bool owns(std::uint64_t Ticket) { return (Ticket & TicketBit) != 0; }

  /// \returns the attempts under way.
  std::size_t running() const { return Running.size(); }

private:
  /// Set in the tickets of relayed attempts, clear in those of callers.
  static constexpr std::uint64_t TicketBit = 1ULL << 63U;

  using origin_key = std::pair<std::string, std::uint64_t>;

  struct origin_state {
    replay_window Seen;
    time_point LastHeard;
  };

  struct open_attempt {
    origin_key Origin;
    std::uint64_t Attempt = 0;
    std::uint64_t Connection = 0;
    std::string RequestId;
  };

  replay_window::verdict note(const origin_key &Origin, std::uint64_t Attempt,
                              time_point Now);

  std::size_t Limit;
  std::map<origin_key, origin_state> Origins;
  std::unordered_map<std::uint64_t, open_attempt> Running;
  std::map<std::pair<origin_key, std::uint64_t>, std::uint64_t> Tickets;
  std::uint64_t NextTicket = TicketBit;
  bool Leaving = false;
};

} // namespace masticproxy

#endif
