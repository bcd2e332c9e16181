#include "masticproxy/src/Discovery/routing_directory.h"

#include "masticproxy/src/Discovery/catalogue_builder.h"
#include "masticproxy/src/Query/query_catalogue.h"

#include <utility>

using namespace masticproxy;

namespace {

/// Longest time that a configuration waits for the registrations: the platform
/// has just answered, and they come with the next call.
constexpr std::chrono::milliseconds LongestWait{1000};

} // namespace

void routing_directory::note(discovery_event Event) {
  bool Mattered =
      std::visit([this](auto E) { return on(std::move(E)); }, std::move(Event));
  Changed = Changed || Mattered;
}

std::shared_ptr<const query_catalogue> routing_directory::takeChanged() {
  takeWaiting();
  Changed = Registry.expire() || Changed;
  if (!complete() || !std::exchange(Changed, false))
    return nullptr;
  std::vector<upstream_entry> Upstreams = Registry.entries();
  std::erase_if(Upstreams, [this](const upstream_entry &Entry) {
    return Evacuated.contains(Entry.DataCentre);
  });
  return buildCatalogue(*Configuration, Upstreams);
}

std::optional<std::uint64_t> routing_directory::version() const {
  if (!Configuration)
    return std::nullopt;
  return Configuration->Version;
}

caller_limits routing_directory::limits() const {
  return Configuration ? Configuration->Limits : caller_limits{};
}

bool routing_directory::on(configuration_read Event) {
  // A read may be stale, and answers may overtake each other.
  const auto &Newest = Waiting ? Waiting : Configuration;
  bool Newer = !Newest || Event.Configuration->Version > Newest->Version;
  if (!Newer)
    return false;
  if (Outdated && Configuration) {
    if (!Waiting)
      WaitsUntil = Clock.now() + LongestWait;
    Waiting = std::move(Event.Configuration);
    return false;
  }
  Configuration = std::move(Event.Configuration);
  return true;
}

void routing_directory::takeWaiting() {
  if (!Waiting || (Outdated && Clock.now() < WaitsUntil))
    return;
  Configuration = std::exchange(Waiting, nullptr);
  Changed = true;
}

bool routing_directory::on(upstreams_listed Event) {
  UpstreamsListed = true;
  Outdated = false;
  Registry.onListed(std::move(Event.Entries), Event.OutOfReachAt);
  return true;
}

bool routing_directory::on(const registrations_outdated &) {
  Outdated = true;
  return false;
}

bool routing_directory::on(evacuations_listed Event) {
  std::set<std::string, std::less<>> Listed(Event.DataCentres.begin(),
                                            Event.DataCentres.end());
  return std::exchange(Evacuated, Listed) != Listed;
}

bool routing_directory::on(evacuation_started Event) {
  return Evacuated.insert(std::move(Event.DataCentre)).second;
}

bool routing_directory::on(const evacuation_ended &Event) {
  return Evacuated.erase(Event.DataCentre) > 0;
}

bool routing_directory::on(upstream_registered Event) {
  Registry.onEntry(std::move(Event.Entry));
  return true;
}

bool routing_directory::on(const upstream_lapsed &Event) {
  Registry.onLapsed(Event.Instance);
  return true;
}
