#include "masticproxy/src/Daemon/control_duty.h"

#include "masticproxy/src/Base/counter_registry.h"
#include "masticproxy/src/Daemon/daemon_log.h"
#include "masticproxy/src/Daemon/discovery_log.h"
#include "masticproxy/src/Daemon/effect_log.h"
#include "masticproxy/src/Net/event_log.h"
#include "masticproxy/src/Query/query_catalogue.h"
#include "masticproxy/src/Settings/index_text.h"
#include "masticproxy/src/Settings/node_settings.h"
#include "masticproxy/src/Settings/profile_text.h"
#include "masticproxy/src/Settings/settings_error.h"

#include <thread>

using namespace masticproxy;

namespace {

/// Heartbeat intervals in which a new member hears those who know of it.
constexpr unsigned JoinBeats = 4;

/// Multiples of peers.dead_after: until a dead member is forgotten, and until
/// the silence of most members together is believed.
constexpr unsigned ForgetFactor = 20;
constexpr unsigned MajorityFactor = 10;

/// Of the intervals, one in so many brings a heartbeat to other data centres.
constexpr std::uint64_t RemoteBeatEvery = 2;

/// Heartbeats after which other VMs of the other data centres are told.
constexpr std::uint64_t BeatsInLinkRound = 10;

member_info selfOf(const control_links &Links) {
  member_info Self;
  Self.Name = Links.Settings.Name;
  Self.DataCentre = Links.Settings.DataCentre;
  Self.PeerAddress = Links.Settings.PeersAddress;
  Self.Incarnation = Links.Incarnation;
  return Self;
}

profile readProfileOf(const configuration_record &Record) {
  profile Profile = readProfile(Record.Value, Record.Name);
  Profile.Version = Record.Version;
  return Profile;
}

membership_timing timingOf(const node_settings &Settings) {
  return {Settings.SuspectAfter, Settings.DeadAfter,
          ForgetFactor * Settings.DeadAfter};
}

share_timing shareTimingOf(const node_settings &Settings) {
  return {JoinBeats * Settings.HeartbeatInterval, Settings.DeadAfter,
          MajorityFactor * Settings.DeadAfter, Settings.SuspectAfter};
}

} // namespace

control_duty::control_duty(control_links &Links)
    : Links(Links),
      Members(Links.Clock, selfOf(Links), timingOf(Links.Settings)),
      Share(Links.Clock, shareTimingOf(Links.Settings)),
      Sync(Links.Clock, Links.Settings.PeersAddress,
           Links.Settings.HeartbeatInterval),
      Directory(Links.Clock),
      Catalogue(std::make_shared<const query_catalogue>()) {}

void control_duty::drainRings() {
  // After a pause, what the rings kept is older than the members' silence.
  Members.tick();
  Links.FromPlatform.drain([this](platform_event Event) {
    std::visit([this](auto E) { on(std::move(E)); }, std::move(Event));
  });
  Links.Configurations.drain(
      [this](discovery_event Event) { on(std::move(Event)); });
  Links.Registrations.drain(
      [this](discovery_event Event) { on(std::move(Event)); });
  Links.Evacuations.drain(
      [this](discovery_event Event) { on(std::move(Event)); });
  Links.Suspicions.drain([this](const discovery_event &Event) {
    if (auto *Notice = std::get_if<poison_notice>(&Event))
      on(*Notice);
    else if (auto *Ended = std::get_if<suspicion_ended>(&Event))
      on(*Ended);
    else if (std::holds_alternative<platform_restored>(Event))
      shareThroughPlatform(platform_restored{});
  });
  publishRouting();
  Links.FromPeers.drain([this](peer_message Message) {
    std::visit([this](auto M) { on(std::move(M)); }, std::move(Message));
  });
  Links.FromEngine.drain([this](engine_notice Notice) {
    std::visit([this](auto N) { share(std::move(N)); }, std::move(Notice));
  });
  decide();
}

void control_duty::beat() {
  Members.tick();
  publishRouting();
  decide();
  for (const member_info &Peer : Members.receivers())
    sendHeartbeat(Peer);
  beatToOtherDataCentres();
}

void control_duty::leave() {
  Members.leave();
  for (const member_info &Peer : Members.peers())
    sendHeartbeat(Peer);
  decide();
}

void control_duty::decide() {
  Share.onApplied(Links.AppliedGrant());
  Share.refresh(Members);
  chooseWatching();
  publishGrant();
  publishStatus();
}

void control_duty::chooseWatching() {
  std::vector<member_info> Peers = Members.peers();
  Watchers.keepOnly(Peers);
  Watching = Watchers.shouldWatch(Members.self(), Peers);
  Links.Follow(Watching, Sync.table().revision());
}

void control_duty::sendHeartbeat(const member_info &Peer) {
  heartbeat Heartbeat = Members.makeHeartbeat(Peer);
  Heartbeat.Receiver.Counted = Share.counts(Peer);
  addState(Heartbeat);
  send(Peer.PeerAddress, std::move(Heartbeat));
}

void control_duty::addState(heartbeat &Heartbeat) const {
  Heartbeat.ConfigurationRevision = Sync.table().revision();
  Heartbeat.ConfigurationDigest = Sync.table().digest();
  Heartbeat.Platform = contact();
}

void control_duty::beatToOtherDataCentres() {
  ++Beats;
  if (!Watching || Beats % RemoteBeatEvery != 0)
    return;
  // Members are a data centre's own matter.
  heartbeat Heartbeat = Members.makeRemoteHeartbeat();
  addState(Heartbeat);
  for (const member_info &Vm :
       chooseLinks(Links.Settings.DataCentre, Members.remoteMembers(),
                   Beats / BeatsInLinkRound))
    send(Vm.PeerAddress, Heartbeat);
}

platform_contact control_duty::contact() const {
  if (!Watching)
    return platform_contact::NotWatching;
  return Links.PlatformReachable() ? platform_contact::Watching
                                   : platform_contact::Lost;
}

void control_duty::on(discovery_event Event) {
  logDiscovery(Event);
  Directory.note(std::move(Event));
}

void control_duty::publishRouting() {
  std::shared_ptr<const query_catalogue> Next = Directory.takeChanged();
  if (!Next)
    return;
  Catalogue = std::move(Next);
  publishCatalogue();
}

void control_duty::on(const platform_changed &Changed) {
  std::uint64_t Before = Sync.table().revision();
  takeIn(Changed.Changes);
  if (Changed.Behind != PlatformBehind) {
    PlatformBehind = Changed.Behind;
    logWarning(std::string("event=platform_") +
               (PlatformBehind ? "behind" : "caught_up") +
               " revision=" + std::to_string(Changed.Changes.Revision) +
               " held=" + std::to_string(Sync.table().revision()));
  }
  // What was there at the start is pulled by those who lack it.
  bool Changes = Before > 0 && Sync.table().revision() > Before;
  if (!Changes)
    return;
  for (configuration_push &Push : Sync.changesAfter(Before))
    sendToPeers(std::move(Push));
}

void control_duty::on(const vms_listed &Listed) {
  Members.onListed(Listed.Vms);
  publishRemotes();
}

void control_duty::on(const configuration_push &Push) { takeIn(Push); }

void control_duty::on(heartbeat Heartbeat) {
  if (!Members.complete(Heartbeat)) {
    Links.Counters.get("heartbeats_of_unknown_total").add();
    return;
  }
  const member_info &Sender = Heartbeat.Sender;
  Members.onHeartbeat(Heartbeat);
  Share.onHeartbeat(Heartbeat, Members.self());
  if (Sender.DataCentre == Links.Settings.DataCentre)
    Watchers.setContact(Sender.Name, Heartbeat.Platform);
  if (auto Pull = Sync.onHeartbeat(Heartbeat))
    send(Sender.PeerAddress, *Pull);
}

void control_duty::on(const configuration_pull &Pull) {
  for (configuration_push &Push : Sync.onPull(Pull))
    send(Pull.ReplyTo, std::move(Push));
}

void control_duty::takeIn(const configuration_push &Push) {
  bool First = Sync.table().revision() == 0;
  bool Changed = false;
  for (const configuration_record &Record : Sync.onPush(Push))
    Changed = takeOver(Record) || Changed;
  First = First && Sync.table().revision() > 0;
  if (Changed || First)
    publishCatalogue();
}

void control_duty::on(const poison_notice &Notice) {
  // A full ring drops it: the next death makes the next notice.
  if (!Links.ToEngine.push(Notice))
    Links.Counters.get("notice_ring_full_total").add();
}

void control_duty::on(const suspicion_ended &Ended) {
  // A full ring drops it: the query stays suspect until it is answered.
  if (!Links.ToEngine.push(Ended))
    Links.Counters.get("notice_ring_full_total").add();
}

void control_duty::share(poison_notice Notice) {
  shareThroughPlatform(Notice);
  // VMs of other data centres meet the same query, so they are told as well.
  for (const member_info &Vm : Remotes)
    send(Vm.PeerAddress, Notice);
  sendToPeers(std::move(Notice));
}

void control_duty::share(const suspicion_ended &Ended) {
  shareThroughPlatform(Ended);
}

void control_duty::shareThroughPlatform(const suspicion_news &News) {
  if (Links.Settings.PlatformIsStore && !Links.OwnSuspicions.push(News))
    Links.Counters.get("notice_ring_full_total").add();
}

void control_duty::share(drain_notice Notice) {
  sendToPeers(std::move(Notice));
}

void control_duty::on(const drain_notice &Notice) {
  Links.Counters.get("drain_notices_total", "direction=\"received\"").add();
  // A full ring drops it: the sender says it again.
  if (!Links.ToEngine.push(Notice))
    Links.Counters.get("notice_ring_full_total").add();
}

bool control_duty::takeOver(const configuration_record &Record) {
  object_in_force &Object = InForce[{Record.Kind, Record.Name}];
  Object.Kind = Record.Kind;
  Object.Name = Record.Name;
  auto Next = std::make_shared<query_catalogue>(*Catalogue);
  try {
    if (Record.Kind == "profile" && Record.Deleted)
      Next->removeProfile(Record.Name);
    else if (Record.Kind == "profile")
      Next->setProfile(readProfileOf(Record));
    else if (Record.Kind == "index" && Record.Deleted)
      Next->removeIndex(Record.Name);
    else if (Record.Kind == "index")
      Next->setIndex(readIndexMap(Record.Value, Record.Name));
  } catch (const settings_error &Error) {
    // What was in force before stays so: callers must not pay for a bad edit.
    Object.Rejected = Error.what();
    Links.Counters.get("configuration_rejected_total").add();
    logWarning("event=configuration_rejected kind=" + Record.Kind + " name=" +
               Record.Name + " version=" + std::to_string(Record.Version) +
               " reason=\"" + Error.what() + "\"");
    return false;
  }
  Catalogue = std::move(Next);
  Object.Version = Record.Version;
  Object.Since = Links.Clock.wallTime();
  Object.Rejected.clear();
  if (Record.Kind == "profile")
    noteEffect(Object);
  Links.Events.add("configuration_in_force", "",
                   Record.Kind + " " + Record.Name + " version " +
                       std::to_string(Record.Version));
  logInfo("event=configuration_in_force kind=" + Record.Kind + " name=" +
          Record.Name + " version=" + std::to_string(Record.Version));
  return true;
}

void control_duty::noteEffect(const object_in_force &Object) {
  const profile *Profile = Catalogue->findProfile(Object.Name);
  Links.Effects.inForce(Object.Name, Object.Version, Object.Since,
                        Profile ? profileText(*Profile) : "");
}

void control_duty::publishCatalogue() {
  tellEngine(catalogue_changed{Catalogue});
}

void control_duty::publishGrant() {
  auto Grant = std::make_shared<const connection_grant>(Share.grant());
  Links.Grant.set(Grant);
  // A full ring loses a renewal, which the next heartbeat makes up for.
  Links.ToEngine.push(grant_renewed{Grant});
  if (Grant->Number == GrantLogged)
    return;
  GrantLogged = Grant->Number;
  std::string Sharers = std::to_string(Grant->Others.size() + 1);
  Links.Events.add("sharers_changed", "",
                   Sharers + (Grant->Settled ? "" : " not settled"));
  logInfo("event=sharers_changed count=" + Sharers +
          " settled=" + (Grant->Settled ? "true" : "false"));
}

void control_duty::publishRemotes() {
  if (Members.remoteMembers() == Remotes)
    return;
  Remotes = Members.remoteMembers();
  Links.Events.add("remotes_changed", "", std::to_string(Remotes.size()));
  tellEngine(remotes_changed{Remotes});
}

void control_duty::tellEngine(const engine_update &Update) {
  while (!Links.ToEngine.push(Update))
    std::this_thread::yield();
}

void control_duty::publishStatus() {
  auto Status = std::make_shared<node_status>();
  Status->Self = Members.self();
  Status->Peers = Members.peers();
  Status->ConfigurationRevision = Sync.table().revision();
  if (Links.Settings.PlatformIsStore)
    Status->ConfigurationRevision =
        Directory.complete() ? Directory.version().value_or(0) : 0;
  Status->CallerLimits = Directory.limits();
  Status->PlatformReachable = platformReached();
  Status->Watching = Watching;
  Status->PlatformBehind = Watching && PlatformBehind;
  // With a number of its own, a VM needs to know of no others.
  Status->SharesSettled =
      Share.grant().Settled || Links.Settings.UpstreamConnections > 0;
  Status->Sharers = Share.grant().Others.size() + 1;
  for (const auto &[Key, Object] : InForce)
    Status->Objects.push_back(Object);
  Links.Status.set(std::move(Status));
}

bool control_duty::platformReached() const {
  if (Links.Settings.PlatformIsStore)
    return Links.PlatformReachable();
  if (Watching)
    return Links.PlatformReachable();
  return Watchers.anyReaches(Members.peers());
}

void control_duty::sendToPeers(peer_message Message) {
  auto Shared = std::make_shared<const peer_message>(std::move(Message));
  for (const member_info &Peer : Members.peers())
    Links.ToPeers.push(send_to_peer{Peer.PeerAddress, Shared});
}

void control_duty::send(const std::string &PeerAddress, peer_message Message) {
  Links.ToPeers.push(send_to_peer{
      PeerAddress, std::make_shared<const peer_message>(std::move(Message))});
}
