#ifndef MASTICPROXY_REPORT_PROFILE_SUMMARIES_H
#define MASTICPROXY_REPORT_PROFILE_SUMMARIES_H

#include "masticproxy/src/Query/query_account.h"
#include "masticproxy/src/Query/query_outcome.h"
#include "masticproxy/src/Report/version_summary.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace masticproxy {

/// \brief One version of a profile that came into force on this VM.
struct profile_version {
  std::uint64_t Version = 0;
  /// Wall time at which it came into force, since 1970.
  std::chrono::microseconds Since{0};
  /// Its settings as text; empty where it is a deletion.
  std::string Text;
  version_summary Summary;
};

/// \brief What became of the requests of each profile, for each of the last
/// few versions in force; bounded in profiles and versions.
class profile_summaries {
public:
  static constexpr std::size_t MaxProfiles = 256;
  static constexpr std::size_t MaxVersions = 4;

  /// Versions by the profile's name, oldest first.
  using version_map =
      std::map<std::string, std::vector<profile_version>, std::less<>>;

  /// Notes that \p Version of the profile \p Name came into force at \p Since.
  /// The profile unchanged for longest gives way to one too many.
  void inForce(const std::string &Name, std::uint64_t Version,
               std::chrono::microseconds Since, std::string Text);

  /// Counts a request that ended. One whose version is forgotten is dropped.
  void ended(const query_account &Account, const query_outcome &Outcome);

  /// \returns all that is remembered.
  const version_map &versions() const { return Versions; }

private:
  profile_version *find(const query_account &Account);
  void makeRoom();

  version_map Versions;
};

} // namespace masticproxy

#endif
