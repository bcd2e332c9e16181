#ifndef MASTICPROXY_QUOTA_QUOTA_HOLDER_H
#define MASTICPROXY_QUOTA_QUOTA_HOLDER_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Base/text_hash.h"
#include "masticproxy/src/Quota/quota_answer.h"
#include "masticproxy/src/Quota/quota_ask.h"
#include "masticproxy/src/Quota/quota_decision.h"
#include "masticproxy/src/Quota/quota_limit.h"
#include "masticproxy/src/Quota/quota_settings.h"
#include "masticproxy/src/Quota/refilled_bucket.h"
#include "masticproxy/src/Quota/window_counts.h"
#include "masticproxy/src/Routing/attempt_rate.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace masticproxy {

/// \brief One VM's part of the quotas of all teams: decides which requests may
/// be sent, and what to ask the granter for.
///
/// Requests take tokens from the VM's own share of their team's quota. Where it
/// is used up they wait until the granter gives them tokens. \p Clock has to
/// count the time of a suspension.
class quota_holder {
public:
  /// \p Clock has to outlive the holder. \p Vm and \p Incarnation name this
  /// start of the VM.
  quota_holder(const clock &Clock, quota_limits Limits, quota_settings Settings,
               std::string Vm, std::uint64_t Incarnation);

  /// Decides about a request of \p Team, the more urgent the lower its
  /// \p Priority. With quota_pending, its \p Ticket comes back in a
  /// quota_resolution, unless it is dropped.
  quota_decision take(std::string_view Team, std::uint64_t Ticket,
                      unsigned Priority = 0);

  /// Forgets a request that waits; its caller left.
  void drop(std::uint64_t Ticket);

  /// Sets the term of the granter to ask; empty if none is known. Requests that
  /// wait are refused by the next takeExpired() then.
  void setGranter(std::optional<std::uint64_t> NewTerm);

  /// \returns the message to send to the granter now, if there is one. Until
  /// onAnswer() or onNoAnswer() no other is returned. An answer that comes
  /// after onNoAnswer() must be dropped.
  std::optional<quota_ask> nextAsk();

  /// Takes in the answer to the message that was sent last.
  std::vector<quota_resolution> onAnswer(const quota_answer &Answer);

  /// Records that the message that was sent last is not answered.
  std::vector<quota_resolution> onNoAnswer();

  /// \returns what becomes of the requests that waited for too long.
  std::vector<quota_resolution> takeExpired();

  /// \returns when takeExpired() or nextAsk() may next return something; empty
  /// if no request waits and no share is held.
  std::optional<time_point> nextWakeup() const;

  /// \returns the share of a team's quota that this VM holds now, in [0, 1].
  double share(std::string_view Team) const;

private:
  struct waiting_request {
    std::uint64_t Ticket = 0;
    time_point Since{};
    unsigned Priority = 0;
  };
  struct team_state {
    team_state(time_point Now, duration Window)
        : Bucket(0, Now), Used(Window) {}

    double Share = 0;
    time_point ShareUntil{};
    refilled_bucket Bucket;
    attempt_rate Demand;
    /// Tokens of its shares.
    recent_use Used;
    /// The granter took the share back, and does not know yet that it has
    /// ended here.
    bool GivesBack = false;
    /// The most urgent first, but behind those that were asked for.
    std::deque<waiting_request> Waiting;
    /// Of these, the first ones that the message under way asks for.
    std::size_t Asked = 0;
    /// Until when the granter has no token for this team's requests that are as
    /// urgent as RefusedPriority or less.
    time_point RefusedUntil{};
    unsigned RefusedPriority = 0;
  };
  using team_map =
      std::unordered_map<std::string, team_state, text_hash, std::equal_to<>>;

  team_state &stateOf(std::string_view Team);
  double rateOfShare(const team_state &State, const quota_limit &Limit) const;
  void refill(team_state &State, const quota_limit &Limit);
  /// \returns when a request of the team can have a token here or by asking.
  std::chrono::milliseconds retryAfter(const team_state &State,
                                       const quota_limit &Limit) const;
  /// \returns when the share is to be renewed; empty if it is not, by the
  /// demand as of now.
  std::optional<time_point> renewsAt(const team_state &State) const;
  void apply(team_state &State, const quota_answer_entry &Entry,
             std::vector<quota_resolution> &Resolved);
  /// Ends the wait of the request at \p Index.
  static void refuse(team_state &State, std::size_t Index,
                     std::chrono::milliseconds RetryAfter,
                     std::vector<quota_resolution> &Resolved);
  static void grant(team_state &State, std::size_t Index,
                    std::vector<quota_resolution> &Resolved);
  /// \returns all requests that wait, by priority; none is asked for yet.
  static std::vector<quota_wanted> wantedOf(const team_state &State);
  static void removeWaiting(team_state &State, std::size_t Index);
  /// Ends the wait of the request at \p Index without the granter: with a token
  /// of the VM's share, if there is one.
  void endWait(const std::string &Team, team_state &State, std::size_t Index,
               std::vector<quota_resolution> &Resolved);
  /// Ends the wait of the requests that the message sent last asked for.
  std::vector<quota_resolution> endAsked();
  void dropUnused();

  const clock &Clock;
  quota_limits Limits;
  quota_settings Settings;
  std::string Vm;
  std::uint64_t Incarnation;
  std::uint64_t Sequence = 0;
  std::optional<std::uint64_t> Term;
  /// When the message under way was sent.
  std::optional<time_point> SentAt;
  /// Term that it was sent to.
  std::uint64_t SentTerm = 0;
  /// No message is sent before, as the last one was not answered.
  time_point AsksFrom{};
  team_map Teams;
};

} // namespace masticproxy

#endif
