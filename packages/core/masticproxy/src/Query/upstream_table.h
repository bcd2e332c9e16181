#ifndef MASTICPROXY_QUERY_UPSTREAM_TABLE_H
#define MASTICPROXY_QUERY_UPSTREAM_TABLE_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Cluster/connection_grant.h"
#include "masticproxy/src/Drain/drain_notifier.h"
#include "masticproxy/src/Drain/received_drain_notices.h"
#include "masticproxy/src/Query/index_map.h"
#include "masticproxy/src/Routing/attempt_facts.h"
#include "masticproxy/src/Routing/attempt_rate.h"
#include "masticproxy/src/Routing/candidate.h"
#include "masticproxy/src/Routing/excluded_processes.h"
#include "masticproxy/src/Routing/routing_policy.h"
#include "masticproxy/src/Routing/upstream_health.h"

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace masticproxy {

enum class attempt_failure;

/// \brief The upstreams as this VM sees them: the observed health of each, the
/// number of its open attempts, and the policy that chooses by both.
class upstream_table {
public:
  explicit upstream_table(routing_policy Policy, drain_timing Drain = {})
      : Policy(std::move(Policy)), Drain(Drain), SentNotices(Drain),
        ReceivedNotices(Drain) {}

  /// Sets this VM's data centre, whose upstreams may be chosen.
  void setDataCentre(std::string Name) { DataCentre = std::move(Name); }

  /// Sets whether the upstreams of all data centres may be chosen.
  void setAllDataCentres(bool Direct) { AllDataCentres = Direct; }

  /// Sets whether an upstream is avoided for a while if an attempt there was
  /// abandoned after the hedge delay or later.
  void setSuspectSlow(bool Suspect) { SuspectSlow = Suspect; }

  /// Sets the maximum number of connections of this VM to each upstream; it
  /// replaces the grant. 0 means that the grant applies. With
  /// \p RatePerConnection, one connection is used for so many attempts a
  /// second, as other VMs may lack what this one holds.
  void setOwnConnections(unsigned MaxConnections,
                         double RatePerConnection = 0) {
    OwnConnections = MaxConnections;
    AttemptsPerConnection = RatePerConnection;
  }

  /// Sets the grant, which limits the connections of this VM to each upstream.
  /// Until the first call, this VM may open all that the upstream accepts.
  void setGrant(std::shared_ptr<const connection_grant> NewGrant) {
    Grant = std::move(NewGrant);
  }

  /// \returns the best replica to which a connection is free and which is
  /// neither in \p Tried nor draining, or null.
  const replica *choose(std::span<const replica> Replicas,
                        std::span<const std::string> Tried, time_point Now);

  /// \returns the best replica for a hedge, by the same conditions, or null if
  /// no hedge may be sent.
  const replica *chooseHedge(std::span<const replica> Replicas,
                             std::span<const std::string> Tried,
                             time_point Now);

  /// \returns how long an attempt at \p Index is open before it is hedged;
  /// empty if there is no such delay.
  std::optional<duration> hedgeDelay(std::string_view Index) const;

  /// Records a first attempt at a shard, which earns credit for a fraction of a
  /// further one. \p Budget is the name of the load budget, here and below.
  void firstAttempt(std::string_view Budget, time_point Now);

  /// Charges the load budget for a hedge. \returns whether it allows the hedge.
  bool takeHedge(std::string_view Budget, time_point Now);

  /// Charges the load budget for a retry. \returns whether it allows the retry.
  bool takeRetry(std::string_view Budget, time_point Now);

  /// \returns whether takeRetry() would allow a retry.
  bool hasRetry(std::string_view Budget, time_point Now) const;

  /// \returns whether some replica that may be chosen accepts attempts by
  /// \p Latest: it is then neither draining nor suspect. Whether a connection
  /// to it is free now doesn't matter.
  bool anyAvailableBy(std::span<const replica> Replicas,
                      time_point Latest) const;

  /// Records that an attempt at \p Upstream was opened.
  void attemptStarted(std::string_view Upstream, time_point Now);

  /// Records that an attempt at \p Upstream is no longer open.
  void attemptEnded(std::string_view Upstream);

  /// Records that an attempt had a result.
  void answered(const attempt_facts &Attempt, time_point Now);

  /// Records that an attempt ended with \p Failure.
  void failed(const attempt_facts &Attempt, attempt_failure Failure,
              time_point Now);

  /// Records that an upstream reset a connection as it holds as many as it
  /// takes.
  void atLimit(std::string_view Upstream, time_point Now);

  /// Records that another process than \p Process answered at \p Address. It
  /// gets no attempts there for a while; another start of it does.
  void misdirected(std::string_view Process, std::string_view Address,
                   time_point Now) {
    Excluded.onMisdirected(Process, Address, Now);
  }

  /// Records what a process says of itself.
  void onStatus(const upstream_status &Status, time_point Now);

  /// \returns the earliest time at which any of \p Replicas may get an attempt,
  /// in the past if one may now; empty if none ever may.
  std::optional<time_point> nextAvailable(std::span<const replica> Replicas,
                                          time_point Now) const;

  /// Records that this VM abandoned an attempt before it ended.
  void abandoned(const attempt_facts &Attempt, time_point Now);

  /// Called when a notice of another VM reports that an upstream drains.
  void onNotice(const drain_notice &Notice, time_point Now);

  /// \returns the drain notices that are to be sent to the other VMs at
  /// \p Now. Schedules the repetition of each.
  std::vector<drain_notice> takeNotices(time_point Now) {
    return SentNotices.takeDue(Now);
  }

  /// \returns when the next drain notice is due; empty if none is.
  std::optional<time_point> nextNotice() const { return SentNotices.next(); }

  /// \returns the number of open attempts at \p Upstream.
  unsigned inFlight(std::string_view Upstream) const;

private:
  struct upstream_state {
    explicit upstream_state(time_point Now) : Health(Now) {}

    unsigned InFlight = 0;
    attempt_rate Rate;
    /// Until when it is assumed to hold as many connections as it takes.
    time_point AtLimitUntil{};
    upstream_health Health;
    /// The process that the health was observed of.
    std::string Process;
  };

  bool isSelectable(const replica &Replica) const {
    return AllDataCentres || Replica.DataCentre == DataCentre;
  }

  std::vector<candidate> candidates(std::span<const replica> Replicas,
                                    std::span<const std::string> Tried,
                                    time_point Now);
  /// Lets each of several candidates have as many connections as this VM may
  /// hold. \returns whether that changed any.
  bool raiseLimits(std::vector<candidate> &Set, time_point Now);
  static void limitToOneInFlight(std::vector<candidate> &Set);
  upstream_state &stateOf(std::string_view Upstream, time_point Now);
  upstream_state &stateOf(const replica &Replica, time_point Now);
  unsigned connectionLimit(const replica &Replica, time_point Now) const;
  /// \returns the part of OwnConnections that the rate of attempts needs.
  unsigned ownConnections(std::string_view Upstream, time_point Now) const;
  unsigned slotShare(const replica &Replica, time_point Now) const;
  void observe(const attempt_facts &Attempt);

  routing_policy Policy;
  drain_timing Drain;
  drain_notifier SentNotices;
  received_drain_notices ReceivedNotices;
  std::string DataCentre;
  bool AllDataCentres = false;
  bool SuspectSlow = false;
  unsigned OwnConnections = 0;
  double AttemptsPerConnection = 0;
  std::shared_ptr<const connection_grant> Grant;
  std::map<std::string, upstream_state, std::less<>> States;
  excluded_processes Excluded;
};

} // namespace masticproxy

#endif
