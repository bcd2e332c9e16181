#ifndef MASTICPROXY_NET_HEARTBEAT_STORAGE_H
#define MASTICPROXY_NET_HEARTBEAT_STORAGE_H

#include "masticproxy/src/Net/platform_api.h"
#include "masticproxy/src/Net/platform_heartbeat.h"

#include <cstdint>
#include <variant>

namespace masticproxy {

/// \brief A heartbeat that took effect.
struct heartbeat_written {
  std::uint64_t Revision = 0;
};

/// \brief A heartbeat that did not take effect, as another VM wrote.
struct heartbeat_conflict {};

using heartbeat_read_result =
    std::variant<heartbeat_reading, platform_unavailable>;
using heartbeat_write_result =
    std::variant<heartbeat_written, heartbeat_conflict, platform_unavailable>;

/// \brief Where the platform's heartbeat is kept. Calls wait for the answer.
class heartbeat_storage {
public:
  virtual ~heartbeat_storage() = default;

  /// \returns the heartbeat, as \p Source shows it; \p SentAt is now.
  virtual heartbeat_read_result read(read_freshness Source,
                                     time_point SentAt) = 0;

  /// Writes \p Heartbeat if the one there has the revision \p IfRevision; 0
  /// creates it.
  virtual heartbeat_write_result write(const platform_heartbeat &Heartbeat,
                                       std::uint64_t IfRevision) = 0;
};

} // namespace masticproxy

#endif
