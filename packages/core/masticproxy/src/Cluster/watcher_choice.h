#ifndef MASTICPROXY_CLUSTER_WATCHER_CHOICE_H
#define MASTICPROXY_CLUSTER_WATCHER_CHOICE_H

#include "masticproxy/src/Cluster/member_info.h"
#include "masticproxy/src/Cluster/platform_contact.h"

#include <map>
#include <span>
#include <string>

namespace masticproxy {

/// VMs of a data centre that watch the platform while all is well.
inline constexpr unsigned WatchersWanted = 2;

/// VMs of a data centre that try to, where those before them reach nothing.
inline constexpr unsigned WatchersAtMost = 4;

/// \brief Decides, alike on all VMs and without an election, which VMs of a
/// data centre watch the platform.
class watcher_choice {
public:
  /// Notes what the VM called \p Name says of its contact.
  void setContact(const std::string &Name, platform_contact Contact) {
    Contacts[Name] = Contact;
  }

  /// Forgets what VMs not in \p Peers said.
  void keepOnly(std::span<const member_info> Peers);

  /// \returns whether \p Self is to watch, given its \p Peers.
  bool shouldWatch(const member_info &Self,
                   std::span<const member_info> Peers) const;

  /// \returns whether one of \p Peers that is alive reaches the platform.
  bool anyReaches(std::span<const member_info> Peers) const;

private:
  std::map<std::string, platform_contact> Contacts;
};

} // namespace masticproxy

#endif
