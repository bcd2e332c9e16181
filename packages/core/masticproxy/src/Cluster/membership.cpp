#include "masticproxy/src/Cluster/membership.h"

#include "masticproxy/src/Cluster/rendezvous.h"

#include <algorithm>
#include <utility>

using namespace masticproxy;

namespace {

/// A leaving member is given up after this many times SuspectAfter.
constexpr int LeftSilenceFactor = 2;

bool isHeard(member_state State) {
  return State == member_state::Alive || State == member_state::Leaving;
}

/// \returns \p Member without what a peer that knows it has anyway.
member_info shortened(const member_info &Member, member_state State) {
  member_info Short;
  Short.Name = Member.Name;
  Short.Incarnation = Member.Incarnation;
  Short.State = State;
  return Short;
}

} // namespace

membership::membership(const clock &Clock, member_info Self,
                       membership_timing Timing)
    : Clock(Clock), Self(std::move(Self)), Timing(Timing),
      LastTick(Clock.now()) {}

bool membership::complete(heartbeat &Heartbeat) const {
  member_info &Sender = Heartbeat.Sender;
  if (!Sender.PeerAddress.empty())
    return true;
  auto Found = Peers.find(Sender.Name);
  if (Found == Peers.end() ||
      Found->second.Info.Incarnation != Sender.Incarnation)
    return false;
  Sender.DataCentre = Found->second.Info.DataCentre;
  Sender.PeerAddress = Found->second.Info.PeerAddress;
  return true;
}

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
  Record.OwnSeen = Heartbeat.Receiver.Incarnation;
  Record.Digest = Heartbeat.MembersDigest;
  onOwnState(Heartbeat.Receiver);
  Record.Asked.clear();
  for (const member_info &Seen : Heartbeat.Members) {
    if (Seen.Name == Self.Name || Seen.Name == Sender.Name)
      continue;
    if (isHeard(Seen.State))
      onVouched(Seen);
    else if (Record.Asked.size() < MostQuestions)
      Record.Asked.push_back(Seen.Name);
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

std::vector<member_info> membership::receivers() {
  std::size_t Rounds = (Peers.size() + MostReceivers - 1) / MostReceivers;
  std::size_t Position = Interval++;
  std::vector<member_info> Result;
  for (const auto &[Name, Record] : Peers)
    if (Position++ % Rounds == 0)
      Result.push_back(Record.Info);
  return Result;
}

heartbeat membership::makeHeartbeat(const member_info &Receiver) {
  heartbeat Heartbeat = makeRemoteHeartbeat();
  auto Found = Peers.find(Receiver.Name);
  if (Found == Peers.end())
    return Heartbeat;
  member_record &Record = Found->second;
  // Until the receiver says that it knows this VM's incarnation, it may lack
  // the address. It may also forget it, by a restart, without a word.
  bool Full = Record.OwnSeen != Self.Incarnation ||
              Record.HeartbeatsSent % FullHeartbeatEvery == 0;
  ++Record.HeartbeatsSent;
  Heartbeat.Receiver.Incarnation = Record.Info.Incarnation;
  Heartbeat.Receiver.State = Record.Info.State;
  addAnswers(Heartbeat, Record);
  addQuestions(Heartbeat, Receiver.Name);
  if (!Full)
    Heartbeat.Sender = shortened(Self, Self.State);
  if (Record.Digest != Heartbeat.MembersDigest)
    addIntroductions(Heartbeat, Receiver.Name);
  return Heartbeat;
}

heartbeat membership::makeRemoteHeartbeat() {
  heartbeat Heartbeat;
  Heartbeat.Sender = Self;
  Heartbeat.Sequence = ++Sequence;
  Heartbeat.MembersDigest = digest();
  return Heartbeat;
}

void membership::addAnswers(heartbeat &Heartbeat,
                            const member_record &Receiver) const {
  for (const std::string &Name : Receiver.Asked) {
    auto Found = Peers.find(Name);
    if (Found != Peers.end() && isHeard(Found->second.Info.State))
      Heartbeat.Members.push_back(Found->second.Info);
  }
}

void membership::addQuestions(heartbeat &Heartbeat,
                              const std::string &Receiver) {
  // Asked before it is suspected, so that the answer is there when a leaving
  // member would be given up.
  duration AskAfter = Timing.SuspectAfter * 3 / 4;
  time_point Now = Clock.now();
  std::vector<const member_info *> Silent;
  for (const auto &[Name, Record] : Peers) {
    bool Unheard = Record.Info.State != member_state::Dead &&
                   Now - Record.LastHeard >= AskAfter;
    if (Unheard && Name != Receiver)
      Silent.push_back(&Record.Info);
  }
  std::size_t Count = std::min(Silent.size(), MostQuestions);
  for (std::size_t I = 0; I < Count; ++I)
    Heartbeat.Members.push_back(shortened(
        *Silent[NextQuestion++ % Silent.size()], member_state::Suspect));
}

void membership::addIntroductions(heartbeat &Heartbeat,
                                  const std::string &Receiver) {
  std::vector<const member_info *> Heard;
  for (const auto &[Name, Record] : Peers)
    if (isHeard(Record.Info.State) && Name != Receiver)
      Heard.push_back(&Record.Info);
  std::size_t Count = std::min(Heard.size(), MostIntroductions);
  for (std::size_t I = 0; I < Count; ++I)
    Heartbeat.Members.push_back(*Heard[NextIntroduction++ % Heard.size()]);
}

std::uint64_t membership::digest() const {
  std::uint64_t Digest = rendezvousWeight(Self.DataCentre, Self.Name);
  for (const auto &[Name, Record] : Peers)
    if (Record.Info.State != member_state::Dead)
      Digest ^= rendezvousWeight(Self.DataCentre, Name);
  return Digest;
}

std::vector<member_info> membership::peers() const {
  std::vector<member_info> Result;
  Result.reserve(Peers.size());
  for (const auto &[Name, Record] : Peers)
    Result.push_back(Record.Info);
  return Result;
}

void membership::onOwnState(const receiver_view &Seen) {
  // A higher incarnation is left from a process of this name whose wall clock
  // was ahead; peers would pass over all that this one says. A peer that never
  // heard this VM, but had it from the platform, gives it up as incarnation 0.
  bool GivenUp =
      Seen.State == member_state::Dead &&
      (Seen.Incarnation >= Self.Incarnation || Seen.Incarnation == 0);
  if (GivenUp || Seen.Incarnation > Self.Incarnation)
    rejoin(Seen.Incarnation);
}

void membership::onVouched(const member_info &Seen) {
  // Only what the sender hears itself counts; hearsay could go round forever.
  if (!isHeard(Seen.State) || Seen.DataCentre != Self.DataCentre)
    return;
  auto [Found, Added] = Peers.try_emplace(Seen.Name);
  member_record &Record = Found->second;
  if (!Added && Seen.Incarnation < Record.Info.Incarnation)
    return;
  if (Added || Seen.Incarnation > Record.Info.Incarnation) {
    Record.Info = Seen;
    Record.Info.State = member_state::Suspect;
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
  // The silence was this VM's own: nobody is given up for it. One that was
  // dead before may have come back meanwhile, and hold connections.
  time_point Now = Clock.now();
  for (auto &[Name, Record] : Peers)
    Record.LastVouched = Now;
}

member_state membership::stateOf(const member_record &Record,
                                 time_point Now) const {
  if (Now - Record.LastHeard < Timing.SuspectAfter)
    return Record.Said;
  duration Silence = Now - std::max(Record.LastHeard, Record.LastVouched);
  duration DeadAfter = Timing.DeadAfter;
  if (Record.Said == member_state::Leaving)
    DeadAfter = std::min(DeadAfter, LeftSilenceFactor * Timing.SuspectAfter);
  if (Silence >= DeadAfter)
    return member_state::Dead;
  return member_state::Suspect;
}

bool membership::isForgotten(const member_record &Record,
                             time_point Now) const {
  return Record.Info.State == member_state::Dead &&
         Now - Record.DeadSince >= Timing.ForgetAfter &&
         Now - Record.LastListed >= Timing.ForgetAfter;
}
