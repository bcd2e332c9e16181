/// \file
/// Summaries of profiles agree with a list that keeps every request, within
/// the stated error and in bounded memory.

#include "draws.h"
#include "masticproxy/Query"
#include "masticproxy/Report"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>

using namespace masticproxy;
using std::chrono::microseconds;

namespace {

struct sample {
  query_account Account;
  query_outcome Outcome;
};

struct listed_version {
  std::uint64_t Version = 0;
  microseconds Since{0};
  std::vector<sample> Samples;
};

/// Keeps every request, and forgets by the same rules.
class listing {
public:
  void inForce(const std::string &Name, std::uint64_t Version,
               microseconds Since) {
    if (!Kept.contains(Name) && Kept.size() == profile_summaries::MaxProfiles)
      Kept.erase(longestUnchanged());
    std::vector<listed_version> &Versions = Kept[Name];
    Versions.push_back({Version, Since, {}});
    if (Versions.size() > profile_summaries::MaxVersions)
      Versions.erase(Versions.begin());
  }

  void ended(const sample &Sample) {
    auto Found = Kept.find(Sample.Account.Profile);
    if (Found == Kept.end())
      return;
    for (listed_version &Version : Found->second)
      if (Version.Version == Sample.Account.Version)
        Version.Samples.push_back(Sample);
  }

  std::map<std::string, std::vector<listed_version>> Kept;

private:
  std::string longestUnchanged() const {
    std::string Name = Kept.begin()->first;
    for (const auto &[Other, Versions] : Kept)
      if (Versions.back().Since < Kept.at(Name).back().Since)
        Name = Other;
    return Name;
  }
};

query_outcome drawOutcome() {
  std::size_t Shards = static_cast<std::size_t>(draw(1, 20));
  std::size_t Got = static_cast<std::size_t>(draw(0, 21)) % (Shards + 1);
  switch (draw(0, 4)) {
  case 0:
    return too_late{{Got, Shards}};
  case 1:
    return not_run{"reason " + std::to_string(draw(0, 20))};
  case 2:
    return outcome_unknown{"may have run"};
  default:
    return answered{"s", {Got, Shards}, {}};
  }
}

sample drawSample(const std::string &Profile, std::uint64_t Version) {
  query_account Account;
  Account.Profile = Profile;
  Account.Version = Version;
  Account.Admitted = draw(0, 4) > 0;
  // Over all magnitudes: most draws of a plain range are large.
  Account.Took = microseconds(draw(0, 1 << draw(1, 29)));
  Account.Shards = static_cast<std::size_t>(draw(1, 20));
  Account.Attempts = static_cast<std::size_t>(draw(0, 40));
  return {Account, drawOutcome()};
}

duration trueQuantile(std::vector<duration> Latencies, double Share) {
  std::sort(Latencies.begin(), Latencies.end());
  double Rank = std::ceil(Share * static_cast<double>(Latencies.size()));
  return Latencies[static_cast<std::size_t>(std::max(Rank, 1.0)) - 1];
}

void checkQuantiles(const std::vector<duration> &Latencies,
                    const latency_buckets &Buckets) {
  RC_ASSERT(Buckets.total() == Latencies.size());
  RC_ASSERT(Buckets.quantile(0.5).has_value() == !Latencies.empty());
  for (double Share : {0.01, 0.5, 0.9, 0.99, 1.0}) {
    if (Latencies.empty())
      return;
    duration True = trueQuantile(Latencies, Share);
    duration Stated = *Buckets.quantile(Share);
    RC_ASSERT(Stated >= True);
    bool Close = Stated <= microseconds(100) ||
                 Stated <= True + True / 20 + microseconds(2);
    RC_ASSERT(Close);
  }
}

void checkCoverage(const listed_version &Listed,
                   const version_summary &Summary) {
  std::uint64_t Count = 0;
  double Sum = 0;
  for (const sample &Sample : Listed.Samples) {
    if (!Sample.Account.Admitted)
      continue;
    const coverage *Told = nullptr;
    if (auto *Answer = std::get_if<answered>(&Sample.Outcome))
      Told = &Answer->Coverage;
    if (auto *Late = std::get_if<too_late>(&Sample.Outcome))
      Told = &Late->Coverage;
    Count += Told ? 1 : 0;
    Sum += Told ? Told->share() : 0;
  }
  RC_ASSERT(Summary.WithCoverage == Count);
  RC_ASSERT(std::abs(Summary.CoverageSum - Sum) < 1e-6);
}

void checkVersion(const listed_version &Listed, const profile_version &Kept) {
  const version_summary &Summary = Kept.Summary;
  std::vector<duration> Latencies;
  std::uint64_t Shards = 0;
  std::uint64_t Attempts = 0;
  std::uint64_t NotRun = 0;
  for (const sample &Sample : Listed.Samples) {
    NotRun += std::holds_alternative<not_run>(Sample.Outcome) ? 1 : 0;
    if (!Sample.Account.Admitted)
      continue;
    Latencies.push_back(Sample.Account.Took);
    Shards += Sample.Account.Shards;
    Attempts += Sample.Account.Attempts;
  }
  RC_ASSERT(Kept.Version == Listed.Version);
  RC_ASSERT(Kept.Since == Listed.Since);
  RC_ASSERT(Summary.Requests == Listed.Samples.size());
  RC_ASSERT(Summary.Shards == Shards);
  RC_ASSERT(Summary.Attempts == Attempts);
  std::uint64_t Refused = 0;
  for (const auto &[Reason, Count] : Summary.Refusals)
    Refused += Count;
  RC_ASSERT(Refused == NotRun);
  RC_ASSERT(Summary.Refusals.size() <= version_summary::MaxReasons + 1);
  auto Found = Summary.Outcomes.find("not_run");
  RC_ASSERT((Found == Summary.Outcomes.end() ? 0 : Found->second) == NotRun);
  checkQuantiles(Latencies, Summary.Latency);
  checkCoverage(Listed, Summary);
}

void checkAll(const listing &Naive, const profile_summaries &Tested) {
  RC_ASSERT(Tested.versions().size() <= profile_summaries::MaxProfiles);
  RC_ASSERT(Tested.versions().size() == Naive.Kept.size());
  for (const auto &[Name, Listed] : Naive.Kept) {
    auto Found = Tested.versions().find(Name);
    RC_ASSERT(Found != Tested.versions().end());
    RC_ASSERT(Found->second.size() <= profile_summaries::MaxVersions);
    RC_ASSERT(Found->second.size() == Listed.size());
    for (std::size_t I = 0; I < Listed.size(); ++I)
      checkVersion(Listed[I], Found->second[I]);
  }
}

/// Runs generated edits and requests, late ones of earlier versions too.
template <typename Summaries> bool holds() {
  return rc::check([] {
    Summaries Tested;
    listing Naive;
    // Few profiles see many versions; many reach the bound.
    int Names = draw(0, 4) > 0 ? draw(1, 4) : draw(250, 400);
    int Edits = Names > 4 ? 600 : draw(1, 30);
    for (int Edit = 1; Edit <= Edits; ++Edit) {
      auto Version = static_cast<std::uint64_t>(Edit);
      std::string Name = "p" + std::to_string(draw(0, Names));
      Tested.inForce(Name, Version, microseconds(Edit), "text");
      Naive.inForce(Name, Version, microseconds(Edit));
      for (int Left = draw(0, Names > 4 ? 2 : 40); Left > 0; --Left) {
        auto Back = static_cast<std::uint64_t>(draw(0, Edit));
        sample Sample = drawSample(Name, Version - Back);
        Tested.ended(Sample.Account, Sample.Outcome);
        Naive.ended(Sample);
      }
    }
    checkAll(Naive, Tested);
  });
}

/// A broken summary that counts a late request under the newest version.
struct counting_newest : profile_summaries {
  void ended(query_account Account, const query_outcome &Outcome) {
    auto Found = versions().find(Account.Profile);
    if (Found != versions().end())
      Account.Version = Found->second.back().Version;
    profile_summaries::ended(Account, Outcome);
  }
};

/// A broken summary whose latencies are a tenth too long.
struct overstating : profile_summaries {
  void ended(query_account Account, const query_outcome &Outcome) {
    Account.Took += Account.Took / 10;
    profile_summaries::ended(Account, Outcome);
  }
};

/// A broken summary that takes refusals at once for answers in no time.
struct counting_refusals : profile_summaries {
  void ended(query_account Account, const query_outcome &Outcome) {
    Account.Admitted = true;
    profile_summaries::ended(Account, Outcome);
  }
};

} // namespace

Test(profile_summaries, agree_with_a_list_of_all_requests) {
  cr_assert(holds<profile_summaries>());
}

Test(profile_summaries, the_property_catches_a_late_request_counted_as_new) {
  cr_assert_not(holds<counting_newest>());
}

Test(profile_summaries, the_property_catches_latencies_beyond_the_error) {
  cr_assert_not(holds<overstating>());
}

Test(profile_summaries, the_property_catches_refusals_among_the_latencies) {
  cr_assert_not(holds<counting_refusals>());
}

Test(latency_buckets, of_several_vms_add_up_to_those_of_all) {
  cr_assert(rc::check([] {
    latency_buckets All;
    latency_buckets Merged;
    for (int Vm = draw(1, 5); Vm > 0; --Vm) {
      latency_buckets One;
      for (int Left = draw(0, 100); Left > 0; --Left) {
        microseconds Took(draw(0, 1 << draw(1, 29)));
        One.add(Took);
        All.add(Took);
      }
      // As it goes over the wire: an edge falls into its own bucket.
      for (const latency_buckets::bucket &Bucket : One.filled())
        Merged.add(Bucket.Edge, Bucket.Count);
    }
    RC_ASSERT(Merged.filled() == All.filled());
    RC_ASSERT(Merged.quantile(0.99) == All.quantile(0.99));
  }));
}
