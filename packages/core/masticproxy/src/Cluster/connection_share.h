#ifndef MASTICPROXY_CLUSTER_CONNECTION_SHARE_H
#define MASTICPROXY_CLUSTER_CONNECTION_SHARE_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Cluster/connection_grant.h"
#include "masticproxy/src/Cluster/heartbeat.h"
#include "masticproxy/src/Cluster/member_info.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace masticproxy {

class membership;

/// \brief Spans after which connections are granted or withdrawn.
struct share_timing {
  /// Shortest time as a member before the first connection.
  duration JoinWait;
  /// From a member's death to the growth of the others' shares.
  duration SettleAfter;
  /// The same where most members went silent together, which is more likely
  /// this VM's own failure.
  duration MajoritySettleAfter;
  /// How long a grant holds without being renewed.
  duration GrantSpan;
};

/// \brief Shares each upstream's connections among the VMs of a data centre
/// without a coordinator.
///
/// The rule: a VM holds connections only while every VM that may hold some is
/// among those it counts. So it counts a new member at once, drops a dead one
/// late, and begins, or begins again, only when every member it knows has
/// said that it counts it, is within its own, smaller share and knows the same
/// members.
class connection_share {
public:
  connection_share(const clock &Clock, share_timing Timing);

  /// Notes whether the sender counts this VM, \p Self.
  void onHeartbeat(const heartbeat &Heartbeat, const member_info &Self);

  /// Decides anew; after each event and tick of \p Members.
  void refresh(const membership &Members);

  /// Notes that no more connections are open than grant \p Number allows.
  void onApplied(std::uint64_t Number);

  /// \returns whether this VM counts \p Member and makes room for it.
  bool counts(const member_info &Member) const;

  /// \returns what this VM may hold.
  const connection_grant &grant() const { return Grant; }

private:
  struct sharer {
    std::uint64_t Incarnation = 0;
    /// When its death was seen, if it is dead.
    std::optional<time_point> DeadSince;
  };

  void restartIfNew(const member_info &Self);
  void countAlive(const membership &Members);
  void dropDead(const membership &Members);
  bool allCountSelf(std::uint64_t MembersDigest) const;

  const clock &Clock;
  share_timing Timing;
  std::map<std::string, sharer> Sharers;
  /// What a peer that counts this VM's incarnation said last.
  struct counting_peer {
    std::uint64_t Incarnation = 0;
    std::uint64_t MembersDigest = 0;
  };

  std::map<std::string, counting_peer> CountedBy;
  std::uint64_t OwnIncarnation = 0;
  time_point JoinedAt{};
  connection_grant Grant;
  std::uint64_t Applied = 0;
};

} // namespace masticproxy

#endif
