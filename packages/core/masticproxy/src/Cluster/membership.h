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
  /// How long a dead member is remembered once the platform no longer lists
  /// it.
  duration ForgetAfter = std::chrono::minutes(2);
};

/// \brief One VM's view of the VMs of its data centre, and the names of those
/// of others.
///
/// Every VM sends heartbeats to every other VM of its data centre and says in
/// them whom it hears. A member is alive while it is heard, suspected while
/// only others hear it, and dead when nobody has heard it for long.
class membership {
public:
  membership(const clock &Clock, member_info Self, membership_timing Timing);

  /// Takes in a peer's heartbeat.
  void onHeartbeat(const heartbeat &Heartbeat);

  /// Takes in the platform's list: names and addresses of VMs to reach. It
  /// lags, so it never changes the state of a member that is known.
  void onListed(std::span<const member_info> Listed);

  /// Lets silence change the members' states. A long span since the last call
  /// means that this VM was paused.
  void tick();

  /// Starts to tell the peers that this VM leaves.
  void leave();

  /// \returns the heartbeat to send to every peer now.
  heartbeat makeHeartbeat();

  /// \returns this VM. Its incarnation grows when it was paused or learns that
  /// a peer gave it up: it then starts again as a new member.
  const member_info &self() const { return Self; }

  /// \returns the other VMs of the data centre, dead ones included.
  std::vector<member_info> peers() const;

  /// \returns the VMs of other data centres, as the platform listed them last.
  const std::vector<member_info> &remoteMembers() const { return Remotes; }

private:
  struct member_record {
    member_info Info;
    /// What the member last said of itself: Alive or Leaving.
    member_state Said = member_state::Suspect;
    std::uint64_t LastSequence = 0;
    time_point LastHeard;
    /// When a peer last said that it hears the member.
    time_point LastVouched;
    time_point DeadSince;
    time_point LastListed;
  };

  void onOwnState(const member_info &Seen);
  void onVouched(const member_info &Seen);
  void rejoin(std::uint64_t AfterIncarnation);
  void excuseSilence();
  member_state stateOf(const member_record &Record, time_point Now) const;
  bool isForgotten(const member_record &Record, time_point Now) const;

  const clock &Clock;
  member_info Self;
  membership_timing Timing;
  std::map<std::string, member_record> Peers;
  std::vector<member_info> Remotes;
  std::uint64_t Sequence = 0;
  time_point LastTick;
};

} // namespace masticproxy

#endif
