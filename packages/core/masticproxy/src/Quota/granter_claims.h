#ifndef MASTICPROXY_QUOTA_GRANTER_CLAIMS_H
#define MASTICPROXY_QUOTA_GRANTER_CLAIMS_H

#include <set>
#include <string>

namespace masticproxy {

/// \brief What a granter's record tells its successor about what it gave.
///
/// By default the successor has to expect anything.
struct granter_claims {
  /// A team that is not in FullTeams got at most quota_settings::mostUnlisted()
  /// in any window; one that is not in SharedTeams has no shares.
  bool Settled = false;
  /// Teams that may get all of their quota in a window.
  std::set<std::string> FullTeams;
  /// Teams of which VMs may hold shares.
  std::set<std::string> SharedTeams;

  bool operator==(const granter_claims &) const = default;

  /// \returns whether \p Team may have got all of its quota.
  bool mayBeFull(const std::string &Team) const {
    return !Settled || FullTeams.contains(Team);
  }
  /// \returns whether VMs may hold shares of \p Team.
  bool mayBeShared(const std::string &Team) const {
    return !Settled || SharedTeams.contains(Team);
  }
};

} // namespace masticproxy

#endif
