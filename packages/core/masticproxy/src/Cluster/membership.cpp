#include "masticproxy/src/Cluster/membership.h"

#include <utility>

using namespace masticproxy;

membership::membership(const clock &Clock, member_info Self,
                       membership_timing Timing)
    : Clock(Clock), Self(std::move(Self)), Timing(Timing) {}

void membership::onHeartbeat(const heartbeat &Heartbeat) {
  const member_info &Sender = Heartbeat.Sender;
  if (Sender.Name == Self.Name || Sender.DataCentre != Self.DataCentre)
    return;
  auto [Found, Added] = Peers.try_emplace(Sender.Name);
  member_record &Record = Found->second;
  if (!Added && Sender.Incarnation < Record.Info.Incarnation)
    return;
  Record.Info = Sender;
  Record.LastHeard = Clock.now();
}

void membership::onListed(std::span<const member_info> Listed) {
  Remotes.clear();
  for (const member_info &Vm : Listed)
    if (Vm.DataCentre != Self.DataCentre)
      Remotes.push_back(Vm);
  for (const member_info &Vm : Listed) {
    if (Vm.Name == Self.Name || Vm.DataCentre != Self.DataCentre)
      continue;
    auto [Found, Added] = Peers.try_emplace(Vm.Name);
    if (!Added)
      continue;
    Found->second.Info = Vm;
    Found->second.LastHeard = Clock.now();
  }
}

void membership::tick() {
  time_point Now = Clock.now();
  for (auto &[Name, Record] : Peers) {
    duration Silence = Now - Record.LastHeard;
    if (Silence >= Timing.DeadAfter)
      Record.Info.State = member_state::Dead;
    else if (Silence >= Timing.SuspectAfter &&
             Record.Info.State == member_state::Alive)
      Record.Info.State = member_state::Suspect;
  }
}

void membership::leave() { Self.State = member_state::Leaving; }

heartbeat membership::makeHeartbeat(std::uint64_t ConfigurationRevision) {
  heartbeat Heartbeat;
  Heartbeat.Sender = Self;
  Heartbeat.Sequence = ++Sequence;
  Heartbeat.Members = peers();
  Heartbeat.ConfigurationRevision = ConfigurationRevision;
  return Heartbeat;
}

std::vector<member_info> membership::peers() const {
  std::vector<member_info> Result;
  Result.reserve(Peers.size());
  for (const auto &[Name, Record] : Peers)
    Result.push_back(Record.Info);
  return Result;
}

unsigned membership::sharers() const {
  unsigned Count = 1;
  for (const auto &[Name, Record] : Peers)
    if (Record.Info.State != member_state::Dead)
      ++Count;
  return Count;
}
