#include "control_fleet.h"

#include <sstream>

using namespace masticproxy;

namespace {

constexpr std::chrono::milliseconds BeatInterval{500};
constexpr std::chrono::seconds JoinWait{2};
constexpr std::chrono::seconds SuspectAfter{3};
constexpr std::chrono::seconds DeadAfter{6};
constexpr std::chrono::seconds ForgetAfter{120};
constexpr std::chrono::seconds MajoritySettle{60};
constexpr std::uint64_t BeatSteps = BeatInterval / FleetStep;
constexpr std::uint64_t RemoteBeatSteps = 2 * BeatSteps;
constexpr std::uint64_t LinkSteps = 10 * BeatSteps;
constexpr std::uint64_t ListSteps = std::chrono::seconds(30) / FleetStep;
constexpr unsigned LongestDelaySteps = 2;

share_timing shareTiming(bool GrowsAtOnce) {
  if (GrowsAtOnce)
    return {JoinWait, duration::zero(), duration::zero(), SuspectAfter};
  return {JoinWait, DeadAfter, MajoritySettle, SuspectAfter};
}

} // namespace

fleet_vm::fleet_vm(const clock &True, const member_info &Self, duration Ahead,
                   bool GrowsAtOnce)
    : Clock(True, Ahead),
      Members(Clock, Self, {SuspectAfter, DeadAfter, ForgetAfter}),
      Share(Clock, shareTiming(GrowsAtOnce)),
      Sync(Clock, Self.PeerAddress, BeatInterval) {}

void control_fleet::start(const std::string &Name,
                          const std::string &DataCentre) {
  // Clocks differ, also from one process of a name to the next.
  duration Ahead = std::chrono::seconds(dice(20));
  member_info Self{Name, DataCentre, Name, 0, member_state::Alive};
  Self.Incarnation = static_cast<std::uint64_t>(
      (Clock.wallTime() +
       std::chrono::duration_cast<std::chrono::microseconds>(Ahead))
          .count());
  Vms[Name] =
      std::make_unique<fleet_vm>(Clock, Self, Ahead, Faults.GrowsAtOnce);
  Vms[Name]->NextListing = Steps;
  list(*Vms[Name]);
}

void control_fleet::list(fleet_vm &Vm) {
  bool Reached =
      !Platform.Down && !WithoutPlatform.contains(Vm.Members.self().DataCentre);
  if (Steps < Vm.NextListing || !Reached)
    return;
  Vm.NextListing = Steps + ListSteps;
  std::vector<member_info> Listed;
  for (const auto &[Other, OtherVm] : Vms) {
    member_info Info = OtherVm->Members.self();
    Info.Incarnation = 0;
    Listed.push_back(Info);
  }
  Vm.Members.onListed(Listed);
}

void control_fleet::pause(const std::string &Name) {
  if (Vms.contains(Name))
    Vms[Name]->Paused = true;
}

void control_fleet::resume(const std::string &Name) {
  if (Vms.contains(Name))
    Vms[Name]->Paused = false;
}

void control_fleet::step() {
  Clock.Now += FleetStep;
  ++Steps;
  // The upstreams' duty acts by itself, also before the control duty wakes.
  for (auto &[Name, Vm] : Vms)
    if (!Vm->Paused)
      holdConnections(*Vm);
  for (auto &[Name, Vm] : Vms)
    if (!Vm->Paused && !Faults.HoldsThroughPauses)
      Vm->Members.tick();
  deliver();
  for (auto &[Name, Vm] : Vms) {
    if (Vm->Paused)
      continue;
    Vm->Members.tick();
    list(*Vm);
    Vm->Share.refresh(Vm->Members);
    watch(Name, *Vm);
    if (Steps % BeatSteps == 0)
      beat(Name, *Vm);
    Vm->Applying = Vm->Share.grant();
    if (Faults.JoinsUnacknowledged)
      Vm->Applying.Settled = true;
    if (Faults.HoldsThroughPauses)
      Vm->Applying.ValidUntil = time_point::max();
  }
}

void control_fleet::run(duration Span) {
  for (; Span > duration::zero(); Span -= FleetStep)
    step();
}

unsigned control_fleet::heldByRunning() const {
  unsigned Sum = 0;
  for (const auto &[Name, Vm] : Vms)
    Sum += Vm->Paused ? 0 : Vm->Held;
  return Sum;
}

unsigned control_fleet::heldByAll() const {
  unsigned Sum = 0;
  for (const auto &[Name, Vm] : Vms)
    Sum += Vm->Held;
  return Sum;
}

std::string control_fleet::describe() const {
  constexpr const char *States[] = {"alive", "suspect", "leaving", "dead"};
  std::ostringstream Text;
  for (const auto &[Name, Vm] : Vms) {
    Text << "\n"
         << Name << (Vm->Paused ? " paused" : "") << " holds " << Vm->Held
         << (Vm->Share.grant().Settled ? " settled" : " joining") << " among";
    for (const std::string &Other : Vm->Share.grant().Others)
      Text << " " << Other;
    Text << "; sees";
    for (const member_info &Peer : Vm->Members.peers())
      Text << " " << Peer.Name << ":"
           << States[static_cast<std::size_t>(Peer.State)];
  }
  return Text.str();
}

bool control_fleet::allLevel() const {
  for (const auto &[Name, Vm] : Vms) {
    if (Vm->Sync.table().revision() != Platform.Revision)
      return false;
    for (const auto &[Key, Record] : Platform.Objects) {
      auto Found = Vm->InForce.find(Key.second);
      if (Found == Vm->InForce.end() || Found->second != Record.Version)
        return false;
    }
  }
  return true;
}

bool control_fleet::membersAgree() const {
  for (const auto &[Name, Vm] : Vms) {
    std::set<std::string> Seen{Name};
    for (const member_info &Peer : Vm->Members.peers())
      if (Peer.State != member_state::Dead)
        Seen.insert(Peer.Name);
    std::set<std::string> Running;
    for (const auto &[Other, OtherVm] : Vms)
      if (OtherVm->Members.self().DataCentre == Vm->Members.self().DataCentre)
        Running.insert(Other);
    if (Seen != Running)
      return false;
  }
  return true;
}

void control_fleet::send(const std::string &From, const std::string &To,
                         const peer_message &Message) {
  if (dice(100) < Loss)
    return;
  unsigned Copies = dice(100) < Doubled ? 2 : 1;
  for (; Copies > 0; --Copies)
    Network.push_back({dice(LongestDelaySteps + 1), From, To, Message});
}

void control_fleet::deliver() {
  std::vector<packet> Due;
  std::vector<packet> Later;
  for (packet &Packet : Network) {
    bool Ready = Packet.Steps == 0;
    if (!Ready)
      --Packet.Steps;
    (Ready ? Due : Later).push_back(std::move(Packet));
  }
  Network = std::move(Later);
  for (const packet &Packet : Due)
    if (!Cuts.contains({Packet.From, Packet.To}))
      receive(Packet.To, Packet.Message);
}

void control_fleet::receive(const std::string &Name,
                            const peer_message &Message) {
  auto Found = Vms.find(Name);
  if (Found == Vms.end() || Found->second->Paused)
    return;
  fleet_vm &Vm = *Found->second;
  if (const auto *Push = std::get_if<configuration_push>(&Message))
    return takeIn(Vm, *Push);
  if (const auto *Pull = std::get_if<configuration_pull>(&Message)) {
    for (const configuration_push &Push : Vm.Sync.onPull(*Pull))
      send(Name, Pull->ReplyTo, Push);
    return;
  }
  heartbeat Heartbeat = std::get<heartbeat>(Message);
  if (!Vm.Members.complete(Heartbeat))
    return;
  breakRules(Vm, Heartbeat);
  Vm.Members.onHeartbeat(Heartbeat);
  Vm.Share.onHeartbeat(Heartbeat, Vm.Members.self());
  Vm.Watchers.setContact(Heartbeat.Sender.Name, Heartbeat.Platform);
  if (Faults.CompletesBeyondGaps)
    Heartbeat.ConfigurationDigest = Vm.Sync.table().digest();
  if (auto Pull = Vm.Sync.onHeartbeat(Heartbeat))
    send(Name, Heartbeat.Sender.PeerAddress, *Pull);
}

void control_fleet::breakRules(const fleet_vm &Vm, heartbeat &Heartbeat) const {
  auto IsQuestion = [](const member_info &Seen) {
    return Seen.State == member_state::Suspect;
  };
  if (Faults.ForgetsQuestions)
    std::erase_if(Heartbeat.Members, IsQuestion);
  if (!Faults.BelievesHearsay)
    return;
  for (member_info &Seen : Heartbeat.Members)
    if (IsQuestion(Seen))
      Seen = {Seen.Name, Vm.Members.self().DataCentre, Seen.Name,
              Seen.Incarnation, member_state::Alive};
}

void control_fleet::takeIn(fleet_vm &Vm, configuration_push Push) {
  if (Faults.CompletesBeyondGaps)
    Push.AfterRevision = 0;
  std::vector<configuration_record> Taken = Vm.Sync.onPush(Push);
  if (Faults.AppliesOldVersions)
    Taken = Push.Records;
  for (const configuration_record &Record : Taken) {
    std::uint64_t &Version = Vm.InForce[Record.Name];
    Reverted = Reverted || Record.Version < Version;
    Version = Record.Version;
  }
}

void control_fleet::beat(const std::string &Name, fleet_vm &Vm) {
  for (const member_info &Peer : Vm.Members.receivers()) {
    heartbeat Heartbeat = Vm.Members.makeHeartbeat(Peer);
    Heartbeat.Receiver.Counted = Vm.Share.counts(Peer);
    addState(Vm, Heartbeat);
    send(Name, Peer.PeerAddress, Heartbeat);
  }
  if (!Vm.Watching || Steps % RemoteBeatSteps != 0)
    return;
  heartbeat Heartbeat = Vm.Members.makeRemoteHeartbeat();
  addState(Vm, Heartbeat);
  for (const member_info &Other :
       chooseLinks(Vm.Members.self().DataCentre, Vm.Members.remoteMembers(),
                   Steps / LinkSteps))
    send(Name, Other.PeerAddress, Heartbeat);
}

void control_fleet::addState(const fleet_vm &Vm, heartbeat &Heartbeat) {
  Heartbeat.ConfigurationRevision = Vm.Sync.table().revision();
  Heartbeat.ConfigurationDigest = Vm.Sync.table().digest();
  if (Vm.Watching)
    Heartbeat.Platform =
        Vm.Reached ? platform_contact::Watching : platform_contact::Lost;
}

void control_fleet::watch(const std::string &Name, fleet_vm &Vm) {
  std::vector<member_info> Peers = Vm.Members.peers();
  Vm.Watchers.keepOnly(Peers);
  Vm.Watching = Vm.Watchers.shouldWatch(Vm.Members.self(), Peers);
  if (!Vm.Watching || dice(2) == 0)
    return;
  Vm.Reached =
      !Platform.Down && !WithoutPlatform.contains(Vm.Members.self().DataCentre);
  if (!Vm.Reached)
    return;
  const fleet_platform &Read =
      StaleReads && dice(2) == 0 ? StalePlatform : Platform;
  std::uint64_t Before = Vm.Sync.table().revision();
  Vm.Follower.followFrom(Before);
  std::uint64_t After = Vm.Follower.watchAfter();
  takeIn(Vm, Vm.Follower.onAnswer(After, Read.changesAfter(After)));
  if (Before == 0 || Vm.Sync.table().revision() == Before)
    return;
  for (const configuration_push &Push : Vm.Sync.changesAfter(Before))
    for (const member_info &Peer : Peers)
      send(Name, Peer.PeerAddress, Push);
}

void control_fleet::holdConnections(fleet_vm &Vm) {
  time_point Now = Vm.Clock.now();
  unsigned Allowed = Vm.Applying.places("upstream", Limit, Now);
  if (Now >= Vm.Applying.ValidUntil)
    Vm.Held = 0;
  // Busy connections end one after the other, idle ones at once.
  if (Vm.Held > Allowed)
    Vm.Held = Allowed + dice(Vm.Held - Allowed);
  else
    Vm.Held = Allowed;
  if (Vm.Held <= Allowed)
    Vm.Share.onApplied(Vm.Applying.Number);
}
