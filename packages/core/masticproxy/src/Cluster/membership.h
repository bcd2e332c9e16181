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

/// Peers that are sent a heartbeat in one interval.
inline constexpr std::size_t MostReceivers = 13;

/// Members that one heartbeat asks about.
inline constexpr std::size_t MostQuestions = 4;

/// Members that one heartbeat names to a receiver that knows others.
inline constexpr std::size_t MostIntroductions = 8;

/// Of the heartbeats to one peer, one in so many names its sender's address.
inline constexpr unsigned FullHeartbeatEvery = 8;

/// \brief One VM's view of the VMs of its data centre, and the names of those
/// of others.
///
/// Every VM sends heartbeats to every other VM of its data centre. A member is
/// alive while it is heard, suspected while only others hear it, and dead when
/// nobody has heard it for long. A VM that no longer hears a member asks the
/// others in its heartbeats whether they do, so a heartbeat's size does not
/// grow with the number of members.
class membership {
public:
  membership(const clock &Clock, member_info Self, membership_timing Timing);

  /// Fills in what a short \p Heartbeat left out of its sender. \returns false
  /// where this VM does not know the sender's incarnation: the heartbeat is
  /// then of no use.
  bool complete(heartbeat &Heartbeat) const;

  /// Takes in a peer's heartbeat that is complete.
  void onHeartbeat(const heartbeat &Heartbeat);

  /// Takes in the platform's list: names and addresses of VMs to reach. It
  /// lags, so it never changes the state of a member that is known.
  void onListed(std::span<const member_info> Listed);

  /// Lets silence change the members' states. A long span since the last call
  /// means that this VM was paused.
  void tick();

  /// Starts to tell the peers that this VM leaves.
  void leave();

  /// \returns the peers that a heartbeat is due to; called once an interval.
  /// At most MostReceivers, so each peer of a large data centre hears of this
  /// VM every second or third interval.
  std::vector<member_info> receivers();

  /// \returns the heartbeat to send to \p Receiver, a peer, now. Whether the
  /// receiver is counted is left to the connection_share.
  heartbeat makeHeartbeat(const member_info &Receiver);

  /// \returns the heartbeat for VMs of other data centres, which names no
  /// members.
  heartbeat makeRemoteHeartbeat();

  /// \returns a number that is the same on VMs that know the same members,
  /// themselves included and dead ones left out.
  std::uint64_t digest() const;

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
    /// This VM's incarnation as the member last gave it.
    std::uint64_t OwnSeen = 0;
    /// What digest it last gave.
    std::uint64_t Digest = 0;
    /// Members that it does not hear and asked about in its last heartbeat.
    std::vector<std::string> Asked;
    unsigned HeartbeatsSent = 0;
  };

  void addAnswers(heartbeat &Heartbeat, const member_record &Receiver) const;
  void addQuestions(heartbeat &Heartbeat, const std::string &Receiver);
  void addIntroductions(heartbeat &Heartbeat, const std::string &Receiver);
  void onOwnState(const receiver_view &Seen);
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
  std::uint64_t Interval = 0;
  std::size_t NextQuestion = 0;
  std::size_t NextIntroduction = 0;
  time_point LastTick;
};

} // namespace masticproxy

#endif
