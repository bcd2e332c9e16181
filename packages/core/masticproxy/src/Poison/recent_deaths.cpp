#include "masticproxy/src/Poison/recent_deaths.h"

#include <algorithm>

using namespace masticproxy;

namespace {

/// Upstreams that have one cause, such as a lost rack, die within this time.
constexpr std::chrono::milliseconds CommonCauseSpan{2000};

/// Deaths of upstreams that did not run a query until another cause is assumed:
/// more than coincide as a rule.
constexpr std::ptrdiff_t DeathsOfOtherCause = 3;

constexpr std::size_t MaxDeaths = 64;
constexpr std::size_t MaxQueriesOfDeath = 64;

} // namespace

void recent_deaths::add(query_fingerprint Fingerprint,
                        std::string_view Upstream) {
  expire();
  auto Found = std::find_if(Deaths.begin(), Deaths.end(), [&](const death &D) {
    return D.Upstream == Upstream;
  });
  if (Found == Deaths.end()) {
    if (Deaths.size() == MaxDeaths)
      Deaths.pop_front();
    Deaths.push_back({std::string(Upstream), Clock.now(), {}});
    Found = std::prev(Deaths.end());
  }
  if (Found->Queries.size() < MaxQueriesOfDeath)
    Found->Queries.push_back(Fingerprint);
}

bool recent_deaths::haveOtherCause(query_fingerprint Fingerprint) const {
  time_point Oldest = Clock.now() - CommonCauseSpan;
  auto Others =
      std::count_if(Deaths.begin(), Deaths.end(), [&](const death &Death) {
        bool RanIt = std::find(Death.Queries.begin(), Death.Queries.end(),
                               Fingerprint) != Death.Queries.end();
        return Death.Time > Oldest && !RanIt;
      });
  return Others >= DeathsOfOtherCause;
}

void recent_deaths::expire() {
  time_point Oldest = Clock.now() - CommonCauseSpan;
  while (!Deaths.empty() && Deaths.front().Time <= Oldest)
    Deaths.pop_front();
}
