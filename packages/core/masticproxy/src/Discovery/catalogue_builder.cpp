#include "masticproxy/src/Discovery/catalogue_builder.h"

#include "masticproxy/src/Query/query_catalogue.h"
#include "masticproxy/src/Query/route_table.h"

#include <map>
#include <string>

using namespace masticproxy;

namespace {

replica replicaOf(const upstream_entry &Entry, unsigned Connections) {
  replica Replica;
  Replica.Address = Entry.Address;
  Replica.DataCentre = Entry.DataCentre;
  Replica.Slots = Entry.Slots;
  Replica.Connections = Connections;
  Replica.Instance = Entry.Instance;
  return Replica;
}

replica_map replicasByShard(const routing_configuration &Configuration,
                            std::span<const upstream_entry> Upstreams) {
  replica_map Registered;
  replica_map Lapsed;
  for (const shard_service &Service : Configuration.Services) {
    std::vector<replica> &Sound = Registered[Service.Shard];
    for (const upstream_entry &Entry : Upstreams) {
      if (Entry.Shard != Service.Shard || Entry.Draining)
        continue;
      std::vector<replica> &Into =
          Entry.Lapsed ? Lapsed[Service.Shard] : Sound;
      Into.push_back(replicaOf(Entry, Service.Connections));
    }
    // Without any registered upstream, one that lapsed may still live.
    if (Sound.empty())
      Sound = std::move(Lapsed[Service.Shard]);
  }
  return Registered;
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
  Catalogue->setReplicas(replicasByShard(Configuration, Upstreams));
  return Catalogue;
}
