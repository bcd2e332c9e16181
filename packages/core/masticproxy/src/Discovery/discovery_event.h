#ifndef MASTICPROXY_DISCOVERY_DISCOVERY_EVENT_H
#define MASTICPROXY_DISCOVERY_DISCOVERY_EVENT_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Discovery/routing_configuration.h"
#include "masticproxy/src/Discovery/upstream_entry.h"
#include "masticproxy/src/Poison/poison_notice.h"
#include "masticproxy/src/Poison/suspicion_ended.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace masticproxy {

/// \brief The platform holds this configuration.
struct configuration_read {
  std::shared_ptr<const routing_configuration> Configuration;
};

/// \brief These are all registered upstreams.
struct upstreams_listed {
  std::vector<upstream_entry> Entries;
  /// A time at which the platform was out of reach, if calls failed since the
  /// list before.
  std::optional<time_point> OutOfReachAt = {};
};

/// \brief Registrations can't be read: what is known of upstreams becomes old.
struct registrations_outdated {};

/// \brief An upstream registered itself, or changed its registration.
struct upstream_registered {
  upstream_entry Entry;
};

/// \brief A registration is gone.
struct upstream_lapsed {
  std::string Instance;
};

/// \brief The platform came back from a copy: what it acknowledged last may be
/// gone.
struct platform_restored {};

/// \brief Nothing more is to be sent to the upstreams of exactly these data
/// centres.
struct evacuations_listed {
  std::vector<std::string> DataCentres;
};

/// \brief Nothing more is to be sent to the upstreams of a data centre.
struct evacuation_started {
  std::string DataCentre;
};

/// \brief The upstreams of a data centre may be used again.
struct evacuation_ended {
  std::string DataCentre;
};

/// \brief All that a VM learns from the objects of the platform's store.
using discovery_event =
    std::variant<configuration_read, upstreams_listed, upstream_registered,
                 upstream_lapsed, registrations_outdated, poison_notice,
                 suspicion_ended, platform_restored, evacuations_listed,
                 evacuation_started, evacuation_ended>;

} // namespace masticproxy

#endif
