/// \file
/// Tests the ceiling of outlier ejection with generated replica sets.

#include "draws.h"
#include "masticproxy/Routing"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace masticproxy;

namespace {

const time_point Now{std::chrono::hours(1)};

/// \returns whether \p EjectFrom ejects the suspects up to a third of the set,
/// and none if more than half of the set are suspect.
template <typename Eject> bool holds(Eject EjectFrom) {
  return rc::check([EjectFrom] {
    std::vector<upstream_health> Healths;
    std::size_t Suspects = 0;
    for (int Remaining = draw(0, 12); Remaining > 0; --Remaining) {
      int Failures = draw(0, 4);
      Healths.emplace_back(Now);
      for (int I = 0; I < Failures; ++I)
        Healths.back().failed(Now);
      Suspects += Failures > 0 ? 1 : 0;
    }
    std::vector<candidate> Set;
    Set.reserve(Healths.size());
    for (const upstream_health &Health : Healths)
      Set.push_back({nullptr, &Health});
    std::vector<bool> Ejected = EjectFrom(Set, Now);
    auto Count = static_cast<std::size_t>(
        std::count(Ejected.begin(), Ejected.end(), true));
    RC_ASSERT(3 * Count <= Set.size());
    if (2 * Suspects > Set.size())
      RC_ASSERT(Count == 0U);
    else
      RC_ASSERT(Count == std::min(Suspects, Set.size() / 3));
  });
}

/// Mutant that ejects every suspect.
std::vector<bool> ejectAll(std::span<const candidate> Set, time_point At) {
  std::vector<bool> Ejected;
  for (const candidate &Candidate : Set)
    Ejected.push_back(Candidate.Health->isSuspect(At));
  return Ejected;
}

/// Mutant that keeps the ceiling but ejects also when most of the set are
/// suspect.
std::vector<bool> ejectThird(std::span<const candidate> Set, time_point At) {
  std::vector<bool> Ejected = ejectAll(Set, At);
  std::size_t Remaining = Set.size() / 3;
  for (std::size_t I = 0; I < Ejected.size(); ++I) {
    bool Taken = Ejected[I] && Remaining > 0;
    Remaining -= Taken ? 1 : 0;
    Ejected[I] = Taken;
  }
  return Ejected;
}

} // namespace

Test(outlier_ejection, ejects_at_most_a_third) {
  cr_assert(holds(ejectedReplicas));
}

Test(outlier_ejection, detects_a_missing_ceiling) {
  cr_assert_not(holds(ejectAll));
}

Test(outlier_ejection, detects_ejection_when_most_are_suspect) {
  cr_assert_not(holds(ejectThird));
}
