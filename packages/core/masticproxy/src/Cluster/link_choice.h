#ifndef MASTICPROXY_CLUSTER_LINK_CHOICE_H
#define MASTICPROXY_CLUSTER_LINK_CHOICE_H

#include "masticproxy/src/Cluster/member_info.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace masticproxy {

/// VMs of each other data centre that one watcher sends heartbeats to.
inline constexpr unsigned LinksToEachDataCentre = 2;

/// \returns the few VMs among \p Remotes, VMs of other data centres, that a
/// watcher of \p DataCentre tells its configuration's revision in round
/// \p Round. They change from round to round, so that none that is gone is
/// told for long.
std::vector<member_info> chooseLinks(std::string_view DataCentre,
                                     std::span<const member_info> Remotes,
                                     std::uint64_t Round);

} // namespace masticproxy

#endif
