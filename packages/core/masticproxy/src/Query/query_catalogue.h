#ifndef MASTICPROXY_QUERY_QUERY_CATALOGUE_H
#define MASTICPROXY_QUERY_QUERY_CATALOGUE_H

#include "masticproxy/src/Query/index_map.h"
#include "masticproxy/src/Query/profile.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace masticproxy {

class route_table;
class team_directory;
struct route;

/// The replicas of each shard, keyed by the shard's id.
using replica_map = std::map<std::string, std::vector<replica>, std::less<>>;

/// \brief The profiles and index maps in force at one instant; immutable once
/// published.
class query_catalogue {
public:
  /// Adds or replaces a profile.
  void setProfile(profile Profile);

  /// Adds or replaces an index map.
  void setIndex(index_map Index);

  /// Removes the profile \p Name if it exists.
  void removeProfile(std::string_view Name);

  /// Removes the index \p Name if it exists.
  void removeIndex(std::string_view Name);

  /// \returns the profile \p Name, or null.
  const profile *findProfile(std::string_view Name) const;

  /// \returns the index \p Name, or null.
  const index_map *findIndex(std::string_view Name) const;

  /// Replaces the routes for forwarded requests.
  void setRoutes(std::shared_ptr<const route_table> NewRoutes) {
    Routes = std::move(NewRoutes);
  }

  /// Sets the teams, one of whose keys each request on a route that is not
  /// public needs.
  void setTeams(std::shared_ptr<const team_directory> NewTeams) {
    Teams = std::move(NewTeams);
  }

  /// \returns the teams, or null if requests need no key.
  const team_directory *teams() const { return Teams.get(); }
  const std::shared_ptr<const team_directory> &sharedTeams() const {
    return Teams;
  }

  /// Sets the replicas of all shards. They are used instead of those in the
  /// index maps; a shard that is not listed then has no replicas.
  void setReplicas(replica_map NewReplicas) {
    Replicas = std::move(NewReplicas);
  }

  /// \returns the route for \p Target at \p Host, or null.
  std::shared_ptr<const route> findRoute(std::string_view Host,
                                         std::string_view Target) const;

  /// \returns the replicas of \p Shard: those set by setReplicas(), or those
  /// of the index map if none were set.
  std::span<const replica> replicasOf(const shard &Shard) const;

  /// \returns the addresses of all replicas outside \p DataCentre that were
  /// set by setReplicas().
  std::vector<std::string> addressesOutside(std::string_view DataCentre) const;

  /// Sets the processes that are leaving, which are not among the replicas.
  void setLeaving(std::set<std::string, std::less<>> Processes) {
    Leaving = std::move(Processes);
  }

  /// \returns whether \p Process is leaving.
  bool isLeaving(std::string_view Process) const {
    return Leaving.contains(Process);
  }

  /// \returns whether \p Process may be running: it is a replica, or replicas
  /// are not known by their processes.
  bool mayRun(std::string_view Process) const;

  /// \returns the process that serves \p Shard at \p Address; "" if there is
  /// none.
  std::string_view processAt(std::string_view Shard,
                             std::string_view Address) const;

  /// \returns up to \p Count addresses of replicas in the data centre of the
  /// one at \p Address, without that one and those that \p Excluded holds for.
  std::vector<std::string>
  neighbours(std::string_view Address, std::size_t Count,
             const std::function<bool(std::string_view)> &Excluded) const;

  /// \returns the names of all profiles.
  std::vector<std::string> profileNames() const;

  /// \returns all index maps by name.
  const std::map<std::string, index_map, std::less<>> &indexes() const {
    return Indexes;
  }

private:
  std::map<std::string, profile, std::less<>> Profiles;
  std::map<std::string, index_map, std::less<>> Indexes;
  std::shared_ptr<const route_table> Routes;
  std::shared_ptr<const team_directory> Teams;
  std::optional<replica_map> Replicas;
  std::set<std::string, std::less<>> Leaving;
};

} // namespace masticproxy

#endif
