#ifndef MASTICPROXY_DAEMON_CONTROL_DUTY_H
#define MASTICPROXY_DAEMON_CONTROL_DUTY_H

#include "masticproxy/src/Base/published.h"
#include "masticproxy/src/Cluster/configuration_sync.h"
#include "masticproxy/src/Cluster/connection_share.h"
#include "masticproxy/src/Cluster/link_choice.h"
#include "masticproxy/src/Cluster/membership.h"
#include "masticproxy/src/Cluster/watcher_choice.h"
#include "masticproxy/src/Daemon/control_links.h"
#include "masticproxy/src/Daemon/daemon_rings.h"
#include "masticproxy/src/Daemon/node_status.h"
#include "masticproxy/src/Discovery/routing_directory.h"

#include <map>
#include <string>
#include <utility>

namespace masticproxy {

struct node_settings;

/// \brief The control duty: members and configuration of this VM.
///
/// All calls come from one thread, the control_actor's.
class control_duty {
public:
  explicit control_duty(control_links &Links);

  /// Takes in what waits in the rings.
  void drainRings();

  /// Sends heartbeats and lets silence change the members' states.
  void beat();

  /// Starts to tell the peers that this VM leaves.
  void leave();

private:
  void on(const platform_changed &Changed);
  void on(const vms_listed &Listed);
  void on(const configuration_push &Push);
  void on(heartbeat Heartbeat);
  void on(const configuration_pull &Pull);
  void takeIn(const configuration_push &Push);
  void on(const poison_notice &Notice);
  void on(const suspicion_ended &Ended);
  void on(const drain_notice &Notice);
  /// Tells other VMs what this one found out.
  void share(poison_notice Notice);
  void share(const suspicion_ended &Ended);
  void share(drain_notice Notice);
  void shareThroughPlatform(const suspicion_news &News);
  bool takeOver(const configuration_record &Record);
  void on(discovery_event Event);
  void publishRouting();
  void decide();
  void chooseWatching();
  void sendHeartbeat(const member_info &Peer);
  void addState(heartbeat &Heartbeat) const;
  void beatToOtherDataCentres();
  platform_contact contact() const;
  bool platformReached() const;
  /// Starts to count what becomes of requests under the version now in force.
  void noteEffect(const object_in_force &Object);
  void publishCatalogue();
  void publishGrant();
  void publishRemotes();
  void tellEngine(const engine_update &Update);
  void publishStatus();
  void sendToPeers(peer_message Message);
  void send(const std::string &PeerAddress, peer_message Message);

  using object_key = std::pair<std::string, std::string>;

  control_links &Links;
  membership Members;
  connection_share Share;
  configuration_sync Sync;
  watcher_choice Watchers;
  routing_directory Directory;
  std::shared_ptr<const query_catalogue> Catalogue;
  std::map<object_key, object_in_force> InForce;
  std::vector<member_info> Remotes;
  bool Watching = false;
  bool PlatformBehind = false;
  std::uint64_t Beats = 0;
  std::uint64_t GrantLogged = 0;
};

} // namespace masticproxy

#endif
