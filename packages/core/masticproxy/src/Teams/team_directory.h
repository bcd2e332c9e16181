#ifndef MASTICPROXY_TEAMS_TEAM_DIRECTORY_H
#define MASTICPROXY_TEAMS_TEAM_DIRECTORY_H

#include "masticproxy/src/Base/text_hash.h"
#include "masticproxy/src/Quota/quota_limit.h"
#include "masticproxy/src/Teams/team.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace masticproxy {

/// \brief All teams in force, by name and by key; immutable once published.
class team_directory {
public:
  /// Takes the usable ones of \p Teams. A team without a name or keys, a second
  /// team of one name and a key that several teams hold are left out and
  /// described in \p Problems, without the key itself.
  team_directory(std::vector<team> Teams, std::vector<std::string> &Problems);

  // The indexes point into the list of teams.
  team_directory(const team_directory &) = delete;
  team_directory &operator=(const team_directory &) = delete;

  /// \returns the team that holds \p Key, or null.
  const team *findByKey(std::string_view Key) const;

  /// \returns the team called \p Name, or null.
  const team *find(std::string_view Name) const;

  /// \returns the quota of the team called \p Name; empty if there is none.
  std::optional<quota_limit> quotaOf(std::string_view Name) const;

  /// \returns the number of teams.
  std::size_t size() const { return Teams.size(); }

private:
  using team_index = std::unordered_map<std::string_view, const team *,
                                        text_hash, std::equal_to<>>;

  void addTeams(std::vector<team> Candidates,
                std::vector<std::string> &Problems);
  void indexKeys(std::vector<std::string> &Problems);

  std::vector<team> Teams;
  team_index ByName;
  /// Null for a key that several teams hold.
  team_index ByKey;
};

} // namespace masticproxy

#endif
