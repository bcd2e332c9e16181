#include "masticproxy/src/Settings/index_text.h"

#include "masticproxy/src/Query/index_map.h"
#include "masticproxy/src/Settings/address_text.h"
#include "masticproxy/src/Settings/settings_error.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <set>
#include <stdexcept>

using namespace masticproxy;

namespace {

/// More slots or connections than any server has.
constexpr std::int64_t MaxCount = 1000000;

/// A whole number above zero; a negative one must not wrap round.
unsigned readCount(const nlohmann::json &Node, const char *Key) {
  auto Count = Node.at(Key).get<std::int64_t>();
  if (Count < 1 || Count > MaxCount)
    throw std::out_of_range(std::string(Key) + " is " + std::to_string(Count));
  return static_cast<unsigned>(Count);
}

replica readReplica(const nlohmann::json &Node) {
  replica Replica;
  Replica.Address = Node.at("address").get<std::string>();
  if (!isAddressText(Replica.Address))
    throw std::out_of_range("\"" + Replica.Address +
                            "\" is no IP number and port");
  Replica.DataCentre = Node.at("data_centre").get<std::string>();
  Replica.Slots = readCount(Node, "slots");
  Replica.Connections = readCount(Node, "connections");
  return Replica;
}

shard readShard(const nlohmann::json &Node) {
  shard Shard;
  Shard.Id = Node.at("id").get<std::string>();
  for (const nlohmann::json &Replica : Node.at("replicas"))
    Shard.Replicas.push_back(readReplica(Replica));
  return Shard;
}

[[noreturn]] void fail(std::string_view Name, std::string Found) {
  throw settings_error(
      {settings_problem{"index " + std::string(Name), 0, "", std::move(Found),
                        "a map of distinct shards"}});
}

} // namespace

index_map masticproxy::readIndexMap(std::string_view Text,
                                    std::string_view Name) {
  auto Snapshot = std::make_shared<index_snapshot>();
  try {
    nlohmann::json Root = nlohmann::json::parse(Text);
    Snapshot->Id = Root.at("snapshot").get<std::string>();
    for (const nlohmann::json &Shard : Root.at("shards"))
      Snapshot->Shards.push_back(readShard(Shard));
  } catch (const nlohmann::json::exception &Error) {
    fail(Name, Error.what());
  } catch (const std::out_of_range &Error) {
    fail(Name, Error.what());
  }
  std::set<std::string_view> Ids;
  for (const shard &Shard : Snapshot->Shards)
    if (!Ids.insert(Shard.Id).second)
      fail(Name, "shard " + Shard.Id + " stands twice");
  if (Snapshot->Shards.empty())
    fail(Name, "no shard");
  return index_map{std::string(Name), std::move(Snapshot)};
}
