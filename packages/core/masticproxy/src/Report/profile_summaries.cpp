#include "masticproxy/src/Report/profile_summaries.h"

#include "masticproxy/src/Query/outcome_code.h"

#include <algorithm>

using namespace masticproxy;

namespace {

/// \returns the coverage that the caller was told, or null.
const coverage *toldCoverage(const query_outcome &Outcome) {
  if (auto *Answer = std::get_if<answered>(&Outcome))
    return &Answer->Coverage;
  if (auto *Late = std::get_if<too_late>(&Outcome))
    return &Late->Coverage;
  return nullptr;
}

void countTakenOn(version_summary &Summary, const query_account &Account,
                  const query_outcome &Outcome) {
  Summary.Latency.add(Account.Took);
  Summary.Shards += Account.Shards;
  Summary.Attempts += Account.Attempts;
  if (const coverage *Told = toldCoverage(Outcome)) {
    ++Summary.WithCoverage;
    Summary.CoverageSum += Told->share();
  }
}

} // namespace

void profile_summaries::inForce(const std::string &Name, std::uint64_t Version,
                                std::chrono::microseconds Since,
                                std::string Text) {
  if (!Versions.contains(Name) && Versions.size() >= MaxProfiles)
    makeRoom();
  std::vector<profile_version> &Kept = Versions[Name];
  if (!Kept.empty() && Kept.back().Version == Version)
    return;
  if (Kept.size() >= MaxVersions)
    Kept.erase(Kept.begin());
  Kept.push_back({Version, Since, std::move(Text), {}});
}

void profile_summaries::ended(const query_account &Account,
                              const query_outcome &Outcome) {
  profile_version *Found = find(Account);
  if (!Found)
    return;
  version_summary &Summary = Found->Summary;
  ++Summary.Requests;
  ++Summary.Outcomes[std::string(codeOf(Outcome))];
  if (auto *Refusal = std::get_if<not_run>(&Outcome))
    Summary.addRefusals(Refusal->Reason, 1);
  if (Account.Admitted)
    countTakenOn(Summary, Account, Outcome);
}

profile_version *profile_summaries::find(const query_account &Account) {
  auto Profile = Versions.find(Account.Profile);
  if (Profile == Versions.end())
    return nullptr;
  std::vector<profile_version> &Kept = Profile->second;
  auto Found =
      std::find_if(Kept.begin(), Kept.end(), [&](const profile_version &V) {
        return V.Version == Account.Version;
      });
  return Found == Kept.end() ? nullptr : &*Found;
}

void profile_summaries::makeRoom() {
  auto Oldest = std::min_element(
      Versions.begin(), Versions.end(), [](const auto &A, const auto &B) {
        return A.second.back().Since < B.second.back().Since;
      });
  Versions.erase(Oldest);
}
