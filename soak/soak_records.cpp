#include "soak_records.h"

#include "../platform/standins/small_site.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <iomanip>
#include <sstream>

namespace masticproxy::soak {

namespace {

using platform::small_site;

/// Records of one shard.
constexpr unsigned RecordsOfShard = 3;

std::string recordOf(std::string_view Id, unsigned Shard, unsigned Number) {
  std::string Seed = std::string(Id) + "/" + std::to_string(Shard) + "/" +
                     std::to_string(Number);
  std::ostringstream Text;
  Text << std::hex << std::setfill('0')
       << std::setw(static_cast<int>(small_site::RecordBytes))
       << std::uint64_t{std::hash<std::string>{}(Seed)};
  return Text.str();
}

} // namespace

std::string bodyOf(std::string_view Id, unsigned Shard) {
  std::string Body;
  for (unsigned I = 0; I < RecordsOfShard; ++I)
    Body += recordOf(Id, Shard, I);
  return Body;
}

std::string greatestOf(std::string_view Id, const std::vector<unsigned> &Shards,
                       std::size_t Count) {
  std::vector<std::string> Records;
  for (unsigned Shard : Shards)
    for (unsigned I = 0; I < RecordsOfShard; ++I)
      Records.push_back(recordOf(Id, Shard, I));
  std::sort(Records.begin(), Records.end(), std::greater<>());
  Records.resize(std::min(Records.size(), Count));
  std::string Body;
  for (const std::string &Record : Records)
    Body += Record;
  return Body;
}

} // namespace masticproxy::soak
