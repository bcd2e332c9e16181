#ifndef MASTICPROXY_CLUSTER_MEMBERSHIP_H
#define MASTICPROXY_CLUSTER_MEMBERSHIP_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Cluster/heartbeat.h"
#include "masticproxy/src/Cluster/member_info.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace masticproxy {

/// \brief Spans of silence that change a member's state.
struct membership_timing {
  duration SuspectAfter;
  duration DeadAfter;
};

/// \brief One VM's view of the VMs of its data centre, and the names of those
/// of others.
///
/// Every VM hears every other VM of its data centre directly; a member's state
/// follows from its silence.
class membership {
public:
  membership(const clock &Clock, member_info Self, membership_timing Timing);

  /// Takes in a peer's heartbeat.
  void onHeartbeat(const heartbeat &Heartbeat);

  /// Takes in the platform's list: names and addresses of VMs to reach. It
  /// lags, so it never changes the state of a member that is heard.
  void onListed(std::span<const member_info> Listed);

  /// Lets silence change the members' states.
  void tick();

  /// Starts to tell the peers that this VM leaves.
  void leave();

  /// \returns the heartbeat to send to every peer now.
  heartbeat makeHeartbeat(std::uint64_t ConfigurationRevision);

  /// \returns this VM.
  const member_info &self() const { return Self; }

  /// \returns the other VMs of the data centre, dead ones included.
  std::vector<member_info> peers() const;

  /// \returns the VMs of other data centres, as the platform listed them last.
  const std::vector<member_info> &remoteMembers() const { return Remotes; }

  /// \returns how many VMs of the data centre, this one included, may hold
  /// connections to upstreams.
  unsigned sharers() const;

private:
  struct member_record {
    member_info Info;
    time_point LastHeard;
  };

  const clock &Clock;
  member_info Self;
  membership_timing Timing;
  std::map<std::string, member_record> Peers;
  std::vector<member_info> Remotes;
  std::uint64_t Sequence = 0;
};

} // namespace masticproxy

#endif
