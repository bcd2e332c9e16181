#ifndef MASTICPROXY_DAEMON_CONTROL_ACTOR_H
#define MASTICPROXY_DAEMON_CONTROL_ACTOR_H

#include "masticproxy/src/Base/published.h"
#include "masticproxy/src/Cluster/configuration_table.h"
#include "masticproxy/src/Cluster/membership.h"
#include "masticproxy/src/Daemon/control_links.h"
#include "masticproxy/src/Daemon/daemon_rings.h"
#include "masticproxy/src/Daemon/node_status.h"

#include <caf/all.hpp>

#include <map>
#include <string>
#include <utility>

CAF_BEGIN_TYPE_ID_BLOCK(masticproxy_control, caf::first_custom_type_id)
CAF_ADD_ATOM(masticproxy_control, masticproxy, wake_atom, "wake")
CAF_ADD_ATOM(masticproxy_control, masticproxy, beat_atom, "beat")
CAF_ADD_ATOM(masticproxy_control, masticproxy, leave_atom, "leave")
CAF_END_TYPE_ID_BLOCK(masticproxy_control)

namespace masticproxy {

struct node_settings;

/// \brief The control duty: members and configuration of this VM.
///
/// A CAF actor with a thread of its own. What others send it waits in bounded
/// rings; its mailbox only carries wake-ups.
class control_actor : public caf::event_based_actor {
public:
  control_actor(caf::actor_config &Config, control_links &Links);

  caf::behavior make_behavior() override;

private:
  void drainRings();
  void beat();
  void leave();
  void on(const configuration_push &Push);
  void on(const vms_listed &Listed);
  void on(const heartbeat &Heartbeat);
  void on(const configuration_pull &Pull);
  bool takeOver(const configuration_record &Record);
  void publishCatalogue();
  void publishSharers();
  void publishStatus();
  void sendToPeers(peer_message Message);
  void send(const std::string &PeerAddress, peer_message Message);

  using object_key = std::pair<std::string, std::string>;

  control_links &Links;
  membership Members;
  configuration_table Table;
  std::shared_ptr<const query_catalogue> Catalogue;
  std::map<object_key, object_in_force> InForce;
  std::string PullFrom;
  unsigned Sharers = 0;
};

} // namespace masticproxy

#endif
