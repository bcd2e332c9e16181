/// \file
/// Compares waiting_list with a reference implementation that scans one list.

#include "draws.h"
#include "masticproxy/Query"
#include "masticproxy/Routing"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace masticproxy;

namespace {

/// Reference implementation: one list in order of arrival.
class reference_list {
public:
  void add(waiting_shard Shard, std::span<const replica> Replicas) {
    drop(Shard);
    All.push_back({Shard, {Replicas.begin(), Replicas.end()}});
  }

  void drop(waiting_shard Shard) {
    std::erase_if(All, [&](const entry &E) { return E.Shard == Shard; });
  }

  std::optional<waiting_shard> takeFor(std::string_view Upstream) {
    for (const entry &E : All)
      for (const replica &Replica : E.Replicas)
        if (Replica.Address == Upstream) {
          waiting_shard Found = E.Shard;
          drop(Found);
          return Found;
        }
    return std::nullopt;
  }

  std::size_t size() const { return All.size(); }

private:
  struct entry {
    waiting_shard Shard;
    std::vector<replica> Replicas;
  };
  std::vector<entry> All;
};

/// Mutant: the replicas of a shard do not share its wait, so that only the last
/// one counts.
struct unshared_list : waiting_list {
  void add(waiting_shard Shard, std::span<const replica> Replicas) {
    for (const replica &Replica : Replicas)
      waiting_list::add(Shard, {&Replica, 1});
  }
};

/// Mutant: a shard of a request that has ended continues to wait.
struct undroppable_list : waiting_list {
  void drop(waiting_shard) {}
};

std::vector<replica> someReplicas() {
  std::vector<replica> Replicas;
  int First = draw(0, 5);
  int Last = First + draw(0, 3);
  for (int I = First; I <= Last; ++I)
    Replicas.push_back({std::to_string(I), "dc1"});
  return Replicas;
}

/// \returns whether \p List behaves as the reference implementation in
/// generated schedules.
template <typename List> bool holds() {
  return rc::check([] {
    List Tested;
    reference_list Expected;
    for (int Remaining = draw(0, 400); Remaining > 0; --Remaining) {
      waiting_shard Shard{static_cast<std::uint64_t>(draw(0, 6)),
                          static_cast<std::size_t>(draw(0, 4))};
      int Step = draw(0, 5);
      if (Step < 3) {
        std::vector<replica> Replicas = someReplicas();
        Tested.add(Shard, Replicas);
        Expected.add(Shard, Replicas);
      } else if (Step == 3) {
        Tested.drop(Shard);
        Expected.drop(Shard);
      } else {
        std::string Upstream = std::to_string(draw(0, 8));
        RC_ASSERT(Tested.takeFor(Upstream) == Expected.takeFor(Upstream));
      }
      RC_ASSERT(Tested.size() == Expected.size());
    }
  });
}

} // namespace

Test(waiting_list, matches_a_reference_list) {
  cr_assert(holds<waiting_list>());
}

Test(waiting_list, detects_waits_that_are_not_shared) {
  cr_assert_not(holds<unshared_list>());
}

Test(waiting_list, detects_waits_that_are_not_dropped) {
  cr_assert_not(holds<undroppable_list>());
}
