#include "masticproxy/src/Daemon/discovery_log.h"

#include "masticproxy/src/Daemon/daemon_log.h"

using namespace masticproxy;

namespace {

struct line_writer {
  void operator()(const configuration_read &Event) const {
    const routing_configuration &Read = *Event.Configuration;
    logInfo("event=configuration_read version=" + std::to_string(Read.Version) +
            " routes=" + std::to_string(Read.Routes.size()) +
            " shards=" + std::to_string(Read.Services.size()));
  }
  void operator()(const upstreams_listed &Event) const {
    logInfo(
        "event=upstreams_listed count=" + std::to_string(Event.Entries.size()) +
        " after_outage=" + (Event.OutOfReachAt ? "true" : "false"));
  }
  void operator()(const upstream_registered &Event) const {
    const upstream_entry &Entry = Event.Entry;
    logInfo("event=upstream_registered instance=" + Entry.Instance +
            " shard=" + Entry.Shard + " upstream=" + Entry.Address +
            " data_centre=" + Entry.DataCentre +
            " draining=" + (Entry.Draining ? "true" : "false"));
  }
  void operator()(const upstream_lapsed &Event) const {
    logInfo("event=upstream_lapsed instance=" + Event.Instance);
  }
  void operator()(const registrations_outdated &) const {
    logWarning("event=registrations_outdated");
  }
  // The engine's thread writes these lines.
  void operator()(const poison_notice &) const {}
  void operator()(const suspicion_ended &) const {}
  // Each thread that follows the platform writes this itself.
  void operator()(const platform_restored &) const {}
  void operator()(const evacuations_listed &Event) const {
    for (const std::string &DataCentre : Event.DataCentres)
      logWarning("event=evacuation_in_force data_centre=" + DataCentre);
  }
  void operator()(const evacuation_started &Event) const {
    logWarning("event=evacuation_in_force data_centre=" + Event.DataCentre);
  }
  void operator()(const evacuation_ended &Event) const {
    logInfo("event=evacuation_ended data_centre=" + Event.DataCentre);
  }
};

} // namespace

void masticproxy::logDiscovery(const discovery_event &Event) {
  std::visit(line_writer{}, Event);
}
