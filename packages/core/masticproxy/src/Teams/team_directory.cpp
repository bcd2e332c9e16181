#include "masticproxy/src/Teams/team_directory.h"

#include <set>
#include <utility>

using namespace masticproxy;

team_directory::team_directory(std::vector<team> Candidates,
                               std::vector<std::string> &Problems) {
  addTeams(std::move(Candidates), Problems);
  ByName.reserve(Teams.size());
  for (const team &Team : Teams)
    ByName.emplace(Team.Name, &Team);
  indexKeys(Problems);
}

void team_directory::addTeams(std::vector<team> Candidates,
                              std::vector<std::string> &Problems) {
  std::set<std::string, std::less<>> Names;
  Teams.reserve(Candidates.size());
  for (team &Candidate : Candidates) {
    if (Candidate.Name.empty())
      Problems.emplace_back("team left out: it has no name");
    else if (Candidate.Keys.empty())
      Problems.push_back("team " + Candidate.Name + " left out: it has no key");
    else if (!Names.insert(Candidate.Name).second)
      Problems.push_back("team " + Candidate.Name +
                         " left out: another team has this name");
    else
      Teams.push_back(std::move(Candidate));
  }
}

void team_directory::indexKeys(std::vector<std::string> &Problems) {
  for (const team &Team : Teams) {
    for (const std::string &Key : Team.Keys) {
      if (Key.empty()) {
        Problems.push_back("key of team " + Team.Name + " left out: empty");
        continue;
      }
      auto [Found, Added] = ByKey.emplace(Key, &Team);
      if (Added || Found->second == &Team)
        continue;
      // Whose request it is can't be told, so the key identifies neither team.
      Problems.push_back("key of team " + Team.Name +
                         " left out: another team holds it too");
      Found->second = nullptr;
    }
  }
}

const team *team_directory::findByKey(std::string_view Key) const {
  auto Found = ByKey.find(Key);
  return Found == ByKey.end() ? nullptr : Found->second;
}

const team *team_directory::find(std::string_view Name) const {
  auto Found = ByName.find(Name);
  return Found == ByName.end() ? nullptr : Found->second;
}

std::optional<quota_limit>
team_directory::quotaOf(std::string_view Name) const {
  const team *Team = find(Name);
  if (!Team)
    return std::nullopt;
  return quota_limit{Team->RatePerSecond, Team->Burst};
}
