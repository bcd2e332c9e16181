#include "masticproxy/src/Daemon/control_duty.h"

#include "masticproxy/src/Base/counter_registry.h"
#include "masticproxy/src/Daemon/daemon_log.h"
#include "masticproxy/src/Net/event_log.h"
#include "masticproxy/src/Query/query_catalogue.h"
#include "masticproxy/src/Settings/index_text.h"
#include "masticproxy/src/Settings/node_settings.h"
#include "masticproxy/src/Settings/profile_text.h"
#include "masticproxy/src/Settings/settings_error.h"

#include <thread>

using namespace masticproxy;

namespace {

member_info selfOf(const control_links &Links) {
  member_info Self;
  Self.Name = Links.Settings.Name;
  Self.DataCentre = Links.Settings.DataCentre;
  Self.PeerAddress = Links.Settings.PeersAddress;
  Self.Incarnation = Links.Incarnation;
  return Self;
}

} // namespace

control_duty::control_duty(control_links &Links)
    : Links(Links),
      Members(Links.Clock, selfOf(Links),
              {Links.Settings.SuspectAfter, Links.Settings.DeadAfter}),
      Catalogue(std::make_shared<const query_catalogue>()) {}

void control_duty::drainRings() {
  Links.FromPlatform.drain([this](platform_event Event) {
    std::visit([this](auto E) { on(std::move(E)); }, std::move(Event));
  });
  Links.FromPeers.drain([this](peer_message Message) {
    std::visit([this](auto M) { on(std::move(M)); }, std::move(Message));
  });
  Links.FromEngine.drain(
      [this](poison_notice Notice) { sendToPeers(std::move(Notice)); });
  publishSharers();
  publishStatus();
}

void control_duty::beat() {
  Members.tick();
  sendToPeers(Members.makeHeartbeat(Table.revision()));
  publishSharers();
  publishStatus();
}

void control_duty::leave() {
  Members.leave();
  sendToPeers(Members.makeHeartbeat(Table.revision()));
  publishStatus();
}

void control_duty::on(const configuration_push &Push) {
  bool Changed = false;
  for (const configuration_record &Record : Push.Records)
    Changed = takeOver(Record) || Changed;
  Table.completeUpTo(Push.Revision);
  if (Changed)
    publishCatalogue();
}

void control_duty::on(const vms_listed &Listed) {
  Members.onListed(Listed.Vms);
}

void control_duty::on(const heartbeat &Heartbeat) {
  Members.onHeartbeat(Heartbeat);
  if (Heartbeat.ConfigurationRevision > Table.revision())
    send(Heartbeat.Sender.PeerAddress,
         configuration_pull{Table.revision(), Links.Settings.PeersAddress});
}

void control_duty::on(const configuration_pull &Pull) {
  send(Pull.ReplyTo,
       configuration_push{Table.revision(),
                          Table.recordsAfter(Pull.AfterRevision)});
}

void control_duty::on(const poison_notice &Notice) {
  // A full ring drops it: the next death makes the next notice.
  if (!Links.ToEngine.push(Notice))
    Links.Counters.get("notice_ring_full_total").add();
}

bool control_duty::takeOver(const configuration_record &Record) {
  if (!Table.apply(Record))
    return false;
  object_in_force &Object = InForce[{Record.Kind, Record.Name}];
  Object.Kind = Record.Kind;
  Object.Name = Record.Name;
  auto Next = std::make_shared<query_catalogue>(*Catalogue);
  try {
    if (Record.Kind == "profile" && Record.Deleted)
      Next->removeProfile(Record.Name);
    else if (Record.Kind == "profile")
      Next->setProfile(readProfile(Record.Value, Record.Name));
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
  Links.Events.add("configuration_in_force", "",
                   Record.Kind + " " + Record.Name + " version " +
                       std::to_string(Record.Version));
  logInfo("event=configuration_in_force kind=" + Record.Kind + " name=" +
          Record.Name + " version=" + std::to_string(Record.Version));
  return true;
}

void control_duty::publishCatalogue() {
  while (!Links.ToEngine.push(catalogue_changed{Catalogue}))
    std::this_thread::yield();
}

void control_duty::publishSharers() {
  unsigned Count = Members.sharers();
  if (Count == Sharers)
    return;
  Sharers = Count;
  Links.Events.add("sharers_changed", "", std::to_string(Count));
  logInfo("event=sharers_changed count=" + std::to_string(Count));
  while (!Links.ToEngine.push(sharers_changed{Count}))
    std::this_thread::yield();
}

void control_duty::publishStatus() {
  auto Status = std::make_shared<node_status>();
  Status->Self = Members.self();
  Status->Peers = Members.peers();
  Status->ConfigurationRevision = Table.revision();
  Status->PlatformReachable = Links.PlatformReachable();
  for (const auto &[Key, Object] : InForce)
    Status->Objects.push_back(Object);
  Links.Status.set(std::move(Status));
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
