#include "masticproxy/src/Query/query_catalogue.h"

#include "masticproxy/src/Query/route_table.h"

#include <algorithm>
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

bool query_catalogue::mayRun(std::string_view Process) const {
  if (!Replicas)
    return true;
  return std::any_of(
      Replicas->begin(), Replicas->end(), [Process](const auto &Entry) {
        return std::any_of(
            Entry.second.begin(), Entry.second.end(),
            [Process](const replica &R) { return R.process() == Process; });
      });
}

std::string_view query_catalogue::processAt(std::string_view Shard,
                                            std::string_view Address) const {
  if (!Replicas)
    return {};
  auto Found = Replicas->find(Shard);
  if (Found == Replicas->end())
    return {};
  for (const replica &Replica : Found->second)
    if (Replica.Address == Address)
      return Replica.process();
  return {};
}

std::vector<std::string> query_catalogue::neighbours(
    std::string_view Address, std::size_t Count,
    const std::function<bool(std::string_view)> &Excluded) const {
  if (!Replicas)
    return {};
  std::string_view DataCentre;
  for (const auto &[Shard, Serving] : *Replicas)
    for (const replica &Replica : Serving)
      if (Replica.Address == Address)
        DataCentre = Replica.DataCentre;
  std::vector<std::string_view> Found;
  for (const auto &[Shard, Serving] : *Replicas)
    for (const replica &Replica : Serving)
      if (Replica.DataCentre == DataCentre && Replica.Address != Address &&
          !Excluded(Replica.Address))
        Found.push_back(Replica.Address);
  // Spread over all of them, as those of one shard can be down together.
  std::vector<std::string> Chosen;
  std::size_t Taken = std::min(Count, Found.size());
  for (std::size_t I = 0; I < Taken; ++I)
    Chosen.emplace_back(Found[I * Found.size() / Taken]);
  return Chosen;
}

std::vector<std::string> query_catalogue::profileNames() const {
  std::vector<std::string> Names;
  Names.reserve(Profiles.size());
  for (const auto &[Name, Profile] : Profiles)
    Names.push_back(Name);
  return Names;
}
