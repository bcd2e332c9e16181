#ifndef MASTICPROXY_DISCOVERY_UPSTREAM_REGISTRY_H
#define MASTICPROXY_DISCOVERY_UPSTREAM_REGISTRY_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Discovery/upstream_entry.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticproxy {

/// \brief Decides which registered upstreams exist.
///
/// Registrations can lapse while the platform is away although the upstreams
/// live. What has lapsed is kept as a last resort for as long as a live
/// upstream needs to register again.
class upstream_registry {
public:
  explicit upstream_registry(const clock &Clock) : Clock(Clock) {}

  /// Takes in a complete list: what is not in it has lapsed. With
  /// \p OutOfReachAt, it may have lapsed long before, and counts as gone a
  /// bounded time after the platform was out of reach.
  void onListed(std::vector<upstream_entry> Entries,
                std::optional<time_point> OutOfReachAt = std::nullopt);

  /// Takes in the newest registration of one upstream.
  void onEntry(upstream_entry Entry);

  /// Notes that the registration of \p Instance has lapsed.
  void onLapsed(std::string_view Instance);

  /// Drops what lapsed and was not registered again in time. \returns whether
  /// anything was dropped.
  bool expire();

  /// \returns all upstreams that are taken to exist, by identity; those that
  /// have lapsed are marked.
  std::vector<upstream_entry> entries() const;

private:
  struct record {
    upstream_entry Entry;
    /// When the upstream is taken for gone, if its registration has lapsed.
    std::optional<time_point> GoneAt;
  };

  void lapse(std::string_view Instance, time_point GoneAt);

  const clock &Clock;
  std::map<std::string, record, std::less<>> Records;
};

} // namespace masticproxy

#endif
