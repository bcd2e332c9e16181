#include "masticproxy/src/Query/query_catalogue.h"

#include "masticproxy/src/Query/route_table.h"

#include <utility>

using namespace masticproxy;

void query_catalogue::setProfile(profile Profile) {
  std::string Name = Profile.Name;
  Profiles.insert_or_assign(std::move(Name), std::move(Profile));
}

void query_catalogue::setIndex(index_map Index) {
  std::string Name = Index.Name;
  Indexes.insert_or_assign(std::move(Name), std::move(Index));
}

const profile *query_catalogue::findProfile(std::string_view Name) const {
  auto Found = Profiles.find(Name);
  return Found == Profiles.end() ? nullptr : &Found->second;
}

const index_map *query_catalogue::findIndex(std::string_view Name) const {
  auto Found = Indexes.find(Name);
  return Found == Indexes.end() ? nullptr : &Found->second;
}

void query_catalogue::removeProfile(std::string_view Name) {
  auto Found = Profiles.find(Name);
  if (Found != Profiles.end())
    Profiles.erase(Found);
}

void query_catalogue::removeIndex(std::string_view Name) {
  auto Found = Indexes.find(Name);
  if (Found != Indexes.end())
    Indexes.erase(Found);
}

std::shared_ptr<const route>
query_catalogue::findRoute(std::string_view Host,
                           std::string_view Target) const {
  return Routes ? Routes->find(Host, Target) : nullptr;
}

std::span<const replica> query_catalogue::replicasOf(const shard &Shard) const {
  if (!Replicas)
    return Shard.Replicas;
  auto Found = Replicas->find(Shard.Id);
  if (Found == Replicas->end())
    return {};
  return Found->second;
}

std::vector<std::string>
query_catalogue::addressesOutside(std::string_view DataCentre) const {
  std::vector<std::string> Addresses;
  if (!Replicas)
    return Addresses;
  for (const auto &[Shard, Serving] : *Replicas)
    for (const replica &Replica : Serving)
      if (Replica.DataCentre != DataCentre)
        Addresses.push_back(Replica.Address);
  return Addresses;
}

std::optional<std::set<std::string_view>> query_catalogue::processes() const {
  if (!Replicas)
    return std::nullopt;
  std::set<std::string_view> Names;
  for (const auto &[Shard, Serving] : *Replicas)
    for (const replica &Replica : Serving)
      Names.insert(Replica.process());
  return Names;
}

std::vector<std::string> query_catalogue::profileNames() const {
  std::vector<std::string> Names;
  Names.reserve(Profiles.size());
  for (const auto &[Name, Profile] : Profiles)
    Names.push_back(Name);
  return Names;
}
