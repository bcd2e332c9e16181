#ifndef MASTICPROXY_DISCOVERY_ROUTING_DIRECTORY_H
#define MASTICPROXY_DISCOVERY_ROUTING_DIRECTORY_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Discovery/discovery_event.h"
#include "masticproxy/src/Discovery/routing_configuration.h"
#include "masticproxy/src/Discovery/upstream_registry.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace masticproxy {

class query_catalogue;

/// \brief Decides which configuration and which upstreams are in force.
///
/// Events go in through note(), also many together; takeChanged() gives one
/// catalogue for all of them. A configuration older than the one in force is
/// never taken over. One that comes while the registrations are outdated may
/// name upstreams that are not known yet, so it waits for them, but not for
/// long.
class routing_directory {
public:
  explicit routing_directory(const clock &Clock)
      : Clock(Clock), Registry(Clock) {}

  /// Takes \p Event in.
  void note(discovery_event Event);

  /// Drops upstreams whose time is over. \returns the new catalogue, or null
  /// where nothing changed since the last call that queries depend on.
  std::shared_ptr<const query_catalogue> takeChanged();

  /// \returns the operator's number of the configuration in force; nothing
  /// before the first.
  std::optional<std::uint64_t> version() const;

  /// \returns the limits for callers in force.
  caller_limits limits() const;

  /// \returns whether a configuration and a list of upstreams are known.
  bool complete() const { return Configuration && UpstreamsListed; }

private:
  bool on(configuration_read Event);
  bool on(upstreams_listed Event);
  bool on(upstream_registered Event);
  bool on(const upstream_lapsed &Event);
  bool on(const registrations_outdated &);
  // Routing does not depend on these.
  bool on(const poison_notice &) const { return false; }
  bool on(const suspicion_ended &) const { return false; }
  bool on(const platform_restored &) const { return false; }
  bool on(evacuations_listed Event);
  bool on(evacuation_started Event);
  bool on(const evacuation_ended &Event);

  /// Brings the configuration that waits into force if its time has come.
  void takeWaiting();

  const clock &Clock;
  upstream_registry Registry;
  /// Data centres whose upstreams get nothing.
  std::set<std::string, std::less<>> Evacuated;
  std::shared_ptr<const routing_configuration> Configuration;
  /// Newer than the one in force; waits for the registrations.
  std::shared_ptr<const routing_configuration> Waiting;
  time_point WaitsUntil{};
  bool UpstreamsListed = false;
  bool Outdated = false;
  bool Changed = false;
};

} // namespace masticproxy

#endif
