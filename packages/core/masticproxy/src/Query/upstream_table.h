#ifndef MASTICPROXY_QUERY_UPSTREAM_TABLE_H
#define MASTICPROXY_QUERY_UPSTREAM_TABLE_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Cluster/connection_grant.h"
#include "masticproxy/src/Drain/drain_notifier.h"
#include "masticproxy/src/Drain/received_drain_notices.h"
#include "masticproxy/src/Query/index_map.h"
#include "masticproxy/src/Routing/attempt_facts.h"
#include "masticproxy/src/Routing/candidate.h"
#include "masticproxy/src/Routing/routing_policy.h"
#include "masticproxy/src/Routing/upstream_health.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace masticproxy {

enum class attempt_failure;

/// \brief What this VM has observed of each upstream, how many attempts it has
/// open there, and the policy that decides by both.
class upstream_table {
public:
  explicit upstream_table(routing_policy Policy, drain_timing Drain = {})
      : Policy(std::move(Policy)), Drain(Drain), Teller(Drain), Hearsay(Drain) {
  }

  /// Sets the data centre whose upstreams may be chosen.
  void setDataCentre(std::string Name) { DataCentre = std::move(Name); }

  /// Lets the upstreams of all data centres be chosen, with \p Direct.
  void speakToAll(bool Direct) { AllDataCentres = Direct; }

  /// \returns whether any of \p Replicas stands where this VM may ask.
  bool withinReach(std::span<const replica> Replicas) const;

  /// Lets an upstream that keeps attempts waiting be avoided for a while.
  void suspectSlow(bool Suspect) { SuspectSlow = Suspect; }

  /// Sets how many connections this VM may hold to each upstream, whatever its
  /// share of them; 0: no such bound.
  void setOwnConnections(unsigned Most) { OwnConnections = Most; }

  /// Sets how many connections this VM may hold to each upstream; all that
  /// the upstream accepts before the first call.
  void setGrant(std::shared_ptr<const connection_grant> NewGrant) {
    Grant = std::move(NewGrant);
  }

  /// \returns the best replica with a free place that is not in \p Tried and
  /// not draining, or null.
  const replica *choose(std::span<const replica> Replicas,
                        std::span<const std::string> Tried, time_point Now);

  /// \returns the same for a hedge, or null where none may be sent.
  const replica *chooseHedge(std::span<const replica> Replicas,
                             std::span<const std::string> Tried,
                             time_point Now);

  /// \returns how long an attempt at \p Index is out before it is hedged.
  std::optional<duration> hedgeDelay(std::string_view Index) const;

  /// Notes a first attempt at a shard, which earns a share of a further one.
  /// \p Budget names the load budget, here as below.
  void firstAttempt(std::string_view Budget, time_point Now);

  /// \returns whether the load budget pays for a hedge.
  bool takeHedge(std::string_view Budget, time_point Now);

  /// \returns whether the load budget pays for a retry.
  bool takeRetry(std::string_view Budget, time_point Now);

  /// \returns whether takeRetry() would pay for one.
  bool hasRetry(std::string_view Budget, time_point Now) const;

  /// \returns whether some replica of the data centre takes work by \p Latest,
  /// even if all of its places are taken now.
  bool servesBy(std::span<const replica> Replicas, time_point Latest) const;

  /// Takes a place at \p Upstream.
  void attemptStarted(std::string_view Upstream);

  /// Gives the place at \p Upstream back.
  void attemptEnded(std::string_view Upstream);

  /// Notes that an attempt had a result.
  void answered(const attempt_facts &Attempt, time_point Now);

  /// Notes that an attempt ended with \p Failure.
  void failed(const attempt_facts &Attempt, attempt_failure Failure,
              time_point Now);

  /// Notes that another upstream has the address of \p Instance, which gets no
  /// attempt any more.
  void misdirected(const std::string &Instance);

  /// Notes that an attempt was given up.
  void abandoned(const attempt_facts &Attempt, time_point Now);

  /// Takes in another VM's word that an upstream drains.
  void onNotice(const drain_notice &Notice, time_point Now);

  /// \returns what the other VMs have to hear at \p Now.
  std::vector<drain_notice> takeNotices(time_point Now) {
    return Teller.takeDue(Now);
  }

  /// \returns when they have to hear more, if at all.
  std::optional<time_point> nextNotice() const { return Teller.next(); }

  /// \returns the attempts open at \p Upstream.
  unsigned inFlight(std::string_view Upstream) const;

private:
  struct upstream_state {
    explicit upstream_state(time_point Now) : Health(Now) {}

    unsigned InFlight = 0;
    upstream_health Health;
    /// Identity of the start that the health is of.
    std::string Instance;
  };

  bool mayChoose(const replica &Replica) const {
    return AllDataCentres || Replica.DataCentre == DataCentre;
  }

  std::vector<candidate> candidates(std::span<const replica> Replicas,
                                    std::span<const std::string> Tried,
                                    time_point Now);
  static void askAlone(std::vector<candidate> &Set);
  upstream_state &stateOf(std::string_view Upstream, time_point Now);
  upstream_state &stateOf(const replica &Replica, time_point Now);
  unsigned placesAt(const replica &Replica, time_point Now) const;
  unsigned slotShare(const replica &Replica, time_point Now) const;
  void observe(const attempt_facts &Attempt);

  routing_policy Policy;
  drain_timing Drain;
  drain_notifier Teller;
  received_drain_notices Hearsay;
  std::string DataCentre;
  bool AllDataCentres = false;
  bool SuspectSlow = false;
  unsigned OwnConnections = 0;
  std::shared_ptr<const connection_grant> Grant;
  std::map<std::string, upstream_state, std::less<>> States;
  /// Identities whose address another upstream has taken over.
  std::set<std::string> Replaced;
};

} // namespace masticproxy

#endif
