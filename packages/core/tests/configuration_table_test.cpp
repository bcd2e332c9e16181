/// \file
/// Configuration only goes forward, whatever the order of what comes in.

#include "draws.h"
#include "masticproxy/Cluster"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace masticproxy;

Test(configuration_table, never_reverts) {
  cr_assert(rc::check([] {
    configuration_table Table;
    std::uint64_t Newest = 0;
    for (int Left = draw(1, 40); Left > 0; --Left) {
      auto Version = static_cast<std::uint64_t>(draw(1, 20));
      bool Deleted = *rc::gen::arbitrary<bool>();
      bool Taken = Table.apply({"profile", "p", Version, Deleted, "text"});
      RC_ASSERT(Taken == (Version > Newest));
      Newest = std::max(Newest, Version);
      RC_ASSERT(Table.records().at({"profile", "p"}).Version == Newest);
    }
  }));
}

Test(configuration_table, hands_on_what_a_peer_lacks) {
  configuration_table Table;
  Table.apply({"profile", "a", 3, false, ""});
  Table.apply({"profile", "b", 5, true, ""});
  Table.completeUpTo(0, 5);
  cr_assert(Table.revision() == 5);
  auto Newer = Table.recordsAfter(3);
  cr_assert(Newer.size() == 1);
  cr_assert(Newer[0].Deleted);
}
