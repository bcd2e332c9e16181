/// \file
/// The plans of the soak: the same for a seed, of all kinds, overlapping.

#include "fault_plan.h"
#include "soak_options.h"

#include <criterion/criterion.h>

#include <set>

using namespace masticproxy::soak;
using std::chrono::milliseconds;

namespace {

constexpr unsigned Upstreams = 6;

std::vector<planned_fault> planOf(unsigned Seed) {
  soak_options Options;
  Options.Seed = Seed;
  return planFaults(Options, Upstreams);
}

} // namespace

Test(fault_plan, is_the_same_for_a_seed) {
  auto First = planOf(7);
  auto Second = planOf(7);
  cr_assert(First.size() == Second.size());
  for (std::size_t I = 0; I < First.size(); ++I)
    cr_assert(toString(First[I]) == toString(Second[I]));
}

// So that a seed that failed stays a case on every system.
Test(fault_plan, stays_the_same_from_one_version_to_the_next) {
  cr_assert(toString(planOf(1).front()) ==
                "0 ms for 753 ms: refusing upstream 2",
            "%s", toString(planOf(1).front()).c_str());
}

Test(fault_plan, has_faults_of_every_kind_that_overlap) {
  std::set<std::size_t> Kinds;
  bool Overlap = false;
  for (unsigned Seed = 1; Seed <= 20; ++Seed) {
    milliseconds LastEnd{0};
    for (const planned_fault &Fault : planOf(Seed)) {
      Kinds.insert(Fault.What.index());
      Overlap = Overlap || Fault.At < LastEnd;
      LastEnd = std::max(LastEnd, Fault.At + Fault.Span);
    }
  }
  cr_assert(Kinds.size() == std::variant_size_v<fault>);
  cr_assert(Overlap);
}
