#ifndef MASTICPROXY_CLUSTER_LINK_CHOICE_H
#define MASTICPROXY_CLUSTER_LINK_CHOICE_H

#include "masticproxy/src/Cluster/member_info.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace masticproxy {

/// VMs of each other data centre that one watcher sends heartbeats to.
inline constexpr unsigned LinksToEachDataCentre = 2;

/// \brief Knows the VMs of other data centres, and chooses by hash the few
/// that this VM tells its configuration's revision.
class link_choice {
public:
  explicit link_choice(std::string DataCentre)
      : DataCentre(std::move(DataCentre)) {}

  /// Replaces what is known by the platform's list.
  void onListed(std::span<const member_info> Listed);

  /// Notes a VM of another data centre that was heard.
  void onHeard(const member_info &Vm);

  /// \returns the VMs to tell in round \p Round; they change from round to
  /// round, so that none that is gone is asked for long.
  std::vector<member_info> targets(std::uint64_t Round) const;

private:
  std::string DataCentre;
  std::map<std::string, member_info> Vms;
};

} // namespace masticproxy

#endif
