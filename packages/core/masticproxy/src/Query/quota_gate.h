#ifndef MASTICPROXY_QUERY_QUOTA_GATE_H
#define MASTICPROXY_QUERY_QUOTA_GATE_H

#include "masticproxy/src/Query/engine_event.h"
#include "masticproxy/src/Quota/quota_holder.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticproxy {

class team_directory;

/// \brief Settings of quotas in one VM's query engine.
struct quota_gate_settings {
  quota_settings Quotas = {};
  /// Clock that counts the time of a suspension. It has to outlive the engine.
  const clock *Clock = nullptr;
  /// Name of this VM, and number that tells the starts of its process apart.
  std::string Vm;
  std::uint64_t Incarnation = 0;
};

/// \brief A request that waited for a token of its team's quota.
struct quota_checked_query {
  query_arrived Query;
  bool Granted = false;
  /// If it was not granted: time until a token is expected.
  std::chrono::milliseconds RetryAfter{0};
};

/// \brief Keeps requests until their team's quota lets them pass.
class quota_gate {
public:
  explicit quota_gate(const quota_gate_settings &Settings);

  /// Sets the teams whose quotas are in force; null: none.
  void setTeams(std::shared_ptr<const team_directory> NewTeams) {
    Teams = std::move(NewTeams);
  }

  /// Decides about \p Query, which is moved in where it has to wait. The most
  /// urgent \p Priority is 0.
  quota_decision admit(query_arrived &Query, unsigned Priority);

  /// Forgets a request that waits. \returns it, if there is one.
  std::optional<query_arrived> drop(query_ticket Ticket);

  /// \returns all requests that wait, and forgets them.
  std::vector<query_arrived> takeAll();

  /// Sets the term of the granter; empty if none is known.
  void setGranter(std::optional<std::uint64_t> Term) {
    Holder.setGranter(Term);
  }

  /// \returns the message to send to the granter now, if there is one.
  std::optional<quota_ask> nextAsk() { return Holder.nextAsk(); }

  /// Takes in the answer to the message that was sent last; empty if there was
  /// none in time. \returns the requests whose wait is over.
  std::vector<quota_checked_query>
  onAnswer(const std::optional<quota_answer> &Answer);

  /// \returns the requests that waited for too long.
  std::vector<quota_checked_query> takeExpired();

  /// \returns the time until takeExpired() or nextAsk() may next return
  /// something, if that is known.
  std::optional<duration> untilWakeup() const;

private:
  std::vector<quota_checked_query>
  take(const std::vector<quota_resolution> &Resolutions);

  const clock &Clock;
  std::shared_ptr<const team_directory> Teams;
  quota_holder Holder;
  std::unordered_map<query_ticket, query_arrived> Waiting;
};

} // namespace masticproxy

#endif
