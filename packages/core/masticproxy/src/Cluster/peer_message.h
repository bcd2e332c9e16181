#ifndef MASTICPROXY_CLUSTER_PEER_MESSAGE_H
#define MASTICPROXY_CLUSTER_PEER_MESSAGE_H

#include "masticproxy/src/Cluster/configuration_pull.h"
#include "masticproxy/src/Cluster/configuration_push.h"
#include "masticproxy/src/Cluster/heartbeat.h"
#include "masticproxy/src/Drain/drain_notice.h"
#include "masticproxy/src/Poison/poison_notice.h"

#include <variant>

namespace masticproxy {

/// \brief All that one VM says to another.
using peer_message =
    std::variant<heartbeat, configuration_push, configuration_pull,
                 poison_notice, drain_notice>;

} // namespace masticproxy

#endif
