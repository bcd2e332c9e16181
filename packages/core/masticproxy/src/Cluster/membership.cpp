#include "masticproxy/src/Cluster/membership.h"

#include <algorithm>
#include <utility>

using namespace masticproxy;

membership::membership(const clock &Clock, member_info Self,
                       membership_timing Timing)
    : Clock(Clock), Self(std::move(Self)), Timing(Timing),
      LastTick(Clock.now()) {}

void membership::onHeartbeat(const heartbeat &Heartbeat) {
  const member_info &Sender = Heartbeat.Sender;
  if (Sender.Name == Self.Name || Sender.DataCentre != Self.DataCentre)
    return;
  auto [Found, Added] = Peers.try_emplace(Sender.Name);
  member_record &Record = Found->second;
  if (!Added && Sender.Incarnation < Record.Info.Incarnation)
    return;
  // One that was doubled or overtaken says nothing of the present.
  bool Old = !Added && Sender.Incarnation == Record.Info.Incarnation &&
             Record.LastSequence > 0 &&
             Heartbeat.Sequence <= Record.LastSequence;
  if (Old)
    return;
  Record.Info = Sender;
  Record.Said = Sender.State;
  Record.LastSequence = Heartbeat.Sequence;
  Record.LastHeard = Clock.now();
  for (const member_info &Seen : Heartbeat.Members) {
    if (Seen.Name == Self.Name)
      onOwnState(Seen);
    else if (Seen.Name != Sender.Name)
      onVouched(Seen);
  }
}

void membership::onListed(std::span<const member_info> Listed) {
  Remotes.clear();
  for (const member_info &Vm : Listed)
    if (Vm.DataCentre != Self.DataCentre)
      Remotes.push_back(Vm);
  time_point Now = Clock.now();
  for (const member_info &Vm : Listed) {
    if (Vm.Name == Self.Name || Vm.DataCentre != Self.DataCentre)
      continue;
    auto [Found, Added] = Peers.try_emplace(Vm.Name);
    Found->second.LastListed = Now;
    if (!Added)
      continue;
    // Unheard of, but it may hold connections: it counts until its silence
    // has lasted.
    Found->second.Info = Vm;
    Found->second.Info.State = member_state::Suspect;
    Found->second.LastVouched = Now;
  }
}

void membership::tick() {
  time_point Now = Clock.now();
  bool WasPaused = Now - LastTick >= Timing.SuspectAfter;
  LastTick = Now;
  if (WasPaused) {
    excuseSilence();
    rejoin(Self.Incarnation);
  }
  for (auto &[Name, Record] : Peers) {
    member_state State = stateOf(Record, Now);
    if (State == member_state::Dead && Record.Info.State != State)
      Record.DeadSince = Now;
    Record.Info.State = State;
  }
  std::erase_if(
      Peers, [&](const auto &Entry) { return isForgotten(Entry.second, Now); });
}

void membership::leave() { Self.State = member_state::Leaving; }

heartbeat membership::makeHeartbeat() {
  heartbeat Heartbeat;
  Heartbeat.Sender = Self;
  Heartbeat.Sequence = ++Sequence;
  Heartbeat.Members = peers();
  return Heartbeat;
}

std::vector<member_info> membership::peers() const {
  std::vector<member_info> Result;
  Result.reserve(Peers.size());
  for (const auto &[Name, Record] : Peers)
    Result.push_back(Record.Info);
  return Result;
}

void membership::onOwnState(const member_info &Seen) {
  // A higher incarnation is left from a process of this name whose wall clock
  // was ahead; peers would pass over all that this one says.
  bool GivenUp =
      Seen.State == member_state::Dead && Seen.Incarnation >= Self.Incarnation;
  if (GivenUp || Seen.Incarnation > Self.Incarnation)
    rejoin(Seen.Incarnation);
}

void membership::onVouched(const member_info &Seen) {
  // Only what the sender hears itself counts; hearsay could go round forever.
  bool Heard =
      Seen.State == member_state::Alive || Seen.State == member_state::Leaving;
  if (!Heard || Seen.DataCentre != Self.DataCentre)
    return;
  auto [Found, Added] = Peers.try_emplace(Seen.Name);
  member_record &Record = Found->second;
  if (!Added && Seen.Incarnation < Record.Info.Incarnation)
    return;
  if (Added || Seen.Incarnation > Record.Info.Incarnation) {
    Record.Info = Seen;
    Record.Info.State = member_state::Suspect;
    Record.Info.Counted = false;
    Record.LastSequence = 0;
  }
  if (Record.Info.State == member_state::Dead)
    Record.Info.State = member_state::Suspect;
  Record.LastVouched = Clock.now();
}

void membership::rejoin(std::uint64_t AfterIncarnation) {
  Self.Incarnation = std::max(Self.Incarnation, AfterIncarnation) + 1;
}

void membership::excuseSilence() {
  // The silence was this VM's own: nobody is given up for it.
  time_point Now = Clock.now();
  for (auto &[Name, Record] : Peers)
    if (Record.Info.State != member_state::Dead)
      Record.LastVouched = Now;
}

member_state membership::stateOf(const member_record &Record,
                                 time_point Now) const {
  if (Now - Record.LastHeard < Timing.SuspectAfter)
    return Record.Said;
  duration Silence = Now - std::max(Record.LastHeard, Record.LastVouched);
  bool Left = Record.Said == member_state::Leaving;
  if (Silence >= (Left ? Timing.SuspectAfter : Timing.DeadAfter))
    return member_state::Dead;
  return member_state::Suspect;
}

bool membership::isForgotten(const member_record &Record,
                             time_point Now) const {
  return Record.Info.State == member_state::Dead &&
         Now - Record.DeadSince >= Timing.ForgetAfter &&
         Now - Record.LastListed >= Timing.ForgetAfter;
}
