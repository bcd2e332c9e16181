#ifndef MASTICPROXY_DISCOVERY_ROUTING_CONFIGURATION_H
#define MASTICPROXY_DISCOVERY_ROUTING_CONFIGURATION_H

#include "masticproxy/src/Discovery/caller_limits.h"
#include "masticproxy/src/Discovery/shard_service.h"
#include "masticproxy/src/Query/profile.h"
#include "masticproxy/src/Query/route.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace masticproxy {

class team_directory;

/// \brief An index as the operator names it: a list of shards.
struct index_layout {
  std::string Index;
  std::vector<std::string> Shards;
};

/// \brief One whole version of the operator's routes, profiles and indexes.
struct routing_configuration {
  /// The operator's number of it; grows in uneven steps.
  std::uint64_t Version = 0;
  std::vector<route> Routes;
  std::vector<profile> Profiles;
  std::vector<index_layout> Indexes;
  std::vector<shard_service> Services;
  caller_limits Limits;
  /// Teams, one of whose keys each request on a route that is not public needs;
  /// null if no keys are used.
  std::shared_ptr<const team_directory> Teams;
};

} // namespace masticproxy

#endif
