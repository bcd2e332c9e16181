#ifndef MASTICPROXY_ROUTING_OUTLIER_EJECTION_H
#define MASTICPROXY_ROUTING_OUTLIER_EJECTION_H

#include "masticproxy/src/Routing/candidate.h"

#include <span>
#include <vector>

namespace masticproxy {

/// Decides which replicas of one set get no work because they are suspect.
/// These are at most a third of the set, and none if more than half are
/// suspect, as this VM's own network is then the likelier cause.
/// \returns for each replica of \p Set whether it is ejected.
std::vector<bool> ejectedReplicas(std::span<const candidate> Set,
                                  time_point Now);

} // namespace masticproxy

#endif
