#include "masticproxy/src/Cluster/connection_share.h"

#include "masticproxy/src/Cluster/membership.h"

#include <algorithm>

using namespace masticproxy;

connection_share::connection_share(const clock &Clock, share_timing Timing)
    : Clock(Clock), Timing(Timing) {}

void connection_share::onHeartbeat(const heartbeat &Heartbeat,
                                   const member_info &Self) {
  const member_info &Sender = Heartbeat.Sender;
  if (Sender.DataCentre != Self.DataCentre)
    return;
  const receiver_view &Seen = Heartbeat.Receiver;
  if (Seen.Counted && Seen.Incarnation == Self.Incarnation)
    CountedBy[Sender.Name] = {Sender.Incarnation, Heartbeat.MembersDigest};
}

void connection_share::refresh(const membership &Members) {
  connection_grant Old = Grant;
  restartIfNew(Members.self());
  countAlive(Members);
  dropDead(Members);
  time_point Now = Clock.now();
  if (!Grant.Settled && Now - JoinedAt >= Timing.JoinWait)
    Grant.Settled = allCountSelf(Members.digest());
  Grant.Self = Members.self().Name;
  Grant.Others.clear();
  for (const auto &[Name, Sharer] : Sharers)
    Grant.Others.push_back(Name);
  Grant.ValidUntil = Now + Timing.GrantSpan;
  if (Grant.Others != Old.Others || Grant.Settled != Old.Settled)
    ++Grant.Number;
}

void connection_share::onApplied(std::uint64_t Number) { Applied = Number; }

bool connection_share::counts(const member_info &Member) const {
  bool WithinShare = Applied == Grant.Number;
  auto Found = Sharers.find(Member.Name);
  return WithinShare && Found != Sharers.end() && !Found->second.DeadSince &&
         Found->second.Incarnation == Member.Incarnation;
}

void connection_share::restartIfNew(const member_info &Self) {
  if (Self.Incarnation == OwnIncarnation)
    return;
  // The first start, or this VM was paused or given up: the others may have
  // taken over what it held.
  OwnIncarnation = Self.Incarnation;
  JoinedAt = Clock.now();
  CountedBy.clear();
  Grant.Settled = false;
}

void connection_share::countAlive(const membership &Members) {
  for (const member_info &Peer : Members.peers())
    if (Peer.State != member_state::Dead)
      Sharers[Peer.Name] = {Peer.Incarnation, std::nullopt};
}

void connection_share::dropDead(const membership &Members) {
  time_point Now = Clock.now();
  std::size_t Heard = 1;
  for (const member_info &Peer : Members.peers())
    if (Peer.State == member_state::Alive ||
        Peer.State == member_state::Leaving)
      ++Heard;
  for (const member_info &Peer : Members.peers()) {
    auto Found = Sharers.find(Peer.Name);
    if (Peer.State != member_state::Dead || Found == Sharers.end())
      continue;
    if (!Found->second.DeadSince)
      Found->second.DeadSince = Now;
  }
  bool Majority = Heard * 2 > Sharers.size() + 1;
  duration Settle = Majority ? Timing.SettleAfter : Timing.MajoritySettleAfter;
  std::erase_if(Sharers, [&](const auto &Entry) {
    const std::optional<time_point> &DeadSince = Entry.second.DeadSince;
    return DeadSince && Now - *DeadSince >= Settle;
  });
}

bool connection_share::allCountSelf(std::uint64_t MembersDigest) const {
  return std::all_of(Sharers.begin(), Sharers.end(), [&](const auto &Entry) {
    auto Found = CountedBy.find(Entry.first);
    return Found != CountedBy.end() &&
           Found->second.Incarnation == Entry.second.Incarnation &&
           Found->second.MembersDigest == MembersDigest;
  });
}
