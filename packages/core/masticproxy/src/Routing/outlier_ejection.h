#ifndef MASTICPROXY_ROUTING_OUTLIER_EJECTION_H
#define MASTICPROXY_ROUTING_OUTLIER_EJECTION_H

#include "masticproxy/src/Routing/candidate.h"

#include <span>
#include <vector>

namespace masticproxy {

/// Decides which replicas of one set get no work because their connections
/// fail. At most a third of the set; none when more than half look bad, as
/// then this VM's own network is the likelier cause.
/// \returns for each of \p Set whether it is ejected.
std::vector<bool> ejectedReplicas(std::span<const candidate> Set,
                                  time_point Now);

} // namespace masticproxy

#endif
