/// \file
/// The division of an upstream's connections among VMs.

#include "masticproxy/Cluster"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace masticproxy;

namespace {

std::string vmName(unsigned Index) { return "vm-" + std::to_string(Index); }

/// The grant of \p Self where \p Known says which others it counts.
connection_grant grantOf(unsigned Self, const std::vector<bool> &Known) {
  connection_grant Grant;
  Grant.Self = vmName(Self);
  Grant.Settled = true;
  Grant.ValidUntil = time_point::max();
  for (unsigned I = 0; I < Known.size(); ++I)
    if (I != Self && Known[I])
      Grant.Others.push_back(vmName(I));
  return Grant;
}

} // namespace

Test(connection_grant, sums_to_the_limit_at_most_whatever_else_is_counted) {
  cr_assert(rc::check([] {
    // The first Holders VMs hold connections; each counts all of them and any
    // of the others.
    auto Vms = *rc::gen::inRange(1U, 50U);
    auto Holders = *rc::gen::inRange(1U, Vms + 1);
    auto Limit = *rc::gen::inRange(0U, 100U);
    unsigned Sum = 0;
    for (unsigned I = 0; I < Holders; ++I) {
      auto Known = *rc::gen::container<std::vector<bool>>(
          Vms, rc::gen::arbitrary<bool>());
      for (unsigned H = 0; H < Holders; ++H)
        Known[H] = true;
      Sum += grantOf(I, Known).places("127.0.0.1:1", Limit, {});
    }
    RC_ASSERT(Sum <= Limit);
  }));
}

Test(connection_grant, uses_all_connections_where_there_are_fewer_than_vms) {
  unsigned Sum = 0;
  for (unsigned I = 0; I < 40; ++I)
    Sum += grantOf(I, std::vector<bool>(40, true)).places("a:1", 7, {});
  cr_assert(Sum == 7);
}

Test(connection_grant, ends_by_itself) {
  connection_grant Grant = grantOf(0, {true});
  Grant.ValidUntil = time_point(std::chrono::seconds(5));
  cr_assert(Grant.places("a:1", 9, time_point(std::chrono::seconds(4))) == 9);
  cr_assert(Grant.places("a:1", 9, time_point(std::chrono::seconds(5))) == 0);
}
