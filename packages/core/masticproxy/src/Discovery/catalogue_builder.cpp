#include "masticproxy/src/Discovery/catalogue_builder.h"

#include "masticproxy/src/Query/query_catalogue.h"
#include "masticproxy/src/Query/route_table.h"
#include "masticproxy/src/Teams/team_directory.h"

#include <map>
#include <set>
#include <string>

using namespace masticproxy;

namespace {

std::string processOf(const upstream_entry &Entry) {
  return Entry.Instance + "/" + std::to_string(Entry.Started.count());
}

replica replicaOf(const upstream_entry &Entry, unsigned Connections) {
  replica Replica;
  Replica.Address = Entry.Address;
  Replica.DataCentre = Entry.DataCentre;
  Replica.Slots = Entry.Slots;
  Replica.Connections = Connections;
  Replica.Instance = Entry.Instance;
  Replica.Process = processOf(Entry);
  Replica.StartKnown = Entry.Started.count() > 0;
  return Replica;
}

replica_map replicasByShard(const routing_configuration &Configuration,
                            std::span<const upstream_entry> Upstreams) {
  std::map<std::string_view, unsigned> Connections;
  replica_map Registered;
  for (const shard_service &Service : Configuration.Services) {
    Connections[Service.Shard] = Service.Connections;
    Registered[Service.Shard];
  }
  replica_map Lapsed;
  for (const upstream_entry &Entry : Upstreams) {
    auto Service = Connections.find(Entry.Shard);
    if (Service == Connections.end() || Entry.Draining)
      continue;
    replica_map &Into = Entry.Lapsed ? Lapsed : Registered;
    Into[Entry.Shard].push_back(replicaOf(Entry, Service->second));
  }
  // Without any registered upstream, one that lapsed may still live.
  for (auto &[Shard, Replicas] : Lapsed)
    if (Registered[Shard].empty())
      Registered[Shard] = std::move(Replicas);
  return Registered;
}

std::set<std::string, std::less<>>
leavingProcesses(std::span<const upstream_entry> Upstreams) {
  std::set<std::string, std::less<>> Leaving;
  for (const upstream_entry &Entry : Upstreams)
    if (Entry.Draining)
      Leaving.insert(processOf(Entry));
  return Leaving;
}

index_map indexOf(const index_layout &Layout, std::uint64_t Version) {
  auto Snapshot = std::make_shared<index_snapshot>();
  Snapshot->Id = std::to_string(Version);
  for (const std::string &Shard : Layout.Shards)
    Snapshot->Shards.push_back({Shard, {}});
  return {Layout.Index, std::move(Snapshot)};
}

} // namespace

std::shared_ptr<const query_catalogue>
masticproxy::buildCatalogue(const routing_configuration &Configuration,
                            std::span<const upstream_entry> Upstreams) {
  auto Catalogue = std::make_shared<query_catalogue>();
  for (const profile &Profile : Configuration.Profiles)
    Catalogue->setProfile(Profile);
  for (const index_layout &Layout : Configuration.Indexes)
    Catalogue->setIndex(indexOf(Layout, Configuration.Version));
  auto Routes = std::make_shared<route_table>();
  for (const route &Route : Configuration.Routes)
    Routes->add(Route);
  Catalogue->setRoutes(std::move(Routes));
  Catalogue->setTeams(Configuration.Teams);
  Catalogue->setReplicas(replicasByShard(Configuration, Upstreams));
  Catalogue->setLeaving(leavingProcesses(Upstreams));
  return Catalogue;
}
