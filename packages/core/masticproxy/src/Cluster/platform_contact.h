#ifndef MASTICPROXY_CLUSTER_PLATFORM_CONTACT_H
#define MASTICPROXY_CLUSTER_PLATFORM_CONTACT_H

#include <cstdint>

namespace masticproxy {

/// \brief How a VM stands to the platform.
enum class platform_contact : std::uint8_t {
  /// It does not call the platform, others do.
  NotWatching,
  /// It watches, and its last call was answered.
  Watching,
  /// It is to watch, and its last call was not answered.
  Lost,
};

} // namespace masticproxy

#endif
