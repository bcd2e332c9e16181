/// \file
/// How many connections of callers a process may hold.

#include "masticproxy/src/Daemon/descriptor_limit.h"

#include <criterion/criterion.h>

using namespace masticproxy;

Test(descriptor_limit, leaves_room_for_all_but_callers) {
  constexpr std::size_t Wanted = 4096;
  for (std::size_t Descriptors : {64U, 256U, 1024U, 2870U, 4096U}) {
    std::size_t Callers = callerConnectionsFor(Descriptors, Wanted);
    cr_assert(Callers >= 1);
    cr_assert(Callers <= Descriptors * 2 / 3);
  }
  cr_assert(callerConnectionsFor(2870, Wanted) + 1000 < 2870);
  cr_assert(callerConnectionsFor(1U << 20U, Wanted) == Wanted);
}
