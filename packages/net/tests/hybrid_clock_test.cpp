/// \file
/// Hybrid logical clocks: causes before effects in spite of skew.

#include "../../core/tests/manual_clock.h"
#include "masticproxy/Net"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace masticproxy;

Test(hybrid_clock, a_message_is_received_after_it_was_sent_whatever_the_skew) {
  cr_assert(rc::check([] {
    manual_clock Walls[2];
    hybrid_clock Clocks[2] = {hybrid_clock(Walls[0]), hybrid_clock(Walls[1])};
    for (int Left = *rc::gen::inRange(1, 40); Left > 0; --Left) {
      int From = *rc::gen::inRange(0, 2);
      Walls[From].setWall(
          std::chrono::microseconds(*rc::gen::inRange(0, 1000)));
      hybrid_time Sent = Clocks[From].tick();
      hybrid_time Received = Clocks[1 - From].receive(Sent);
      RC_ASSERT(Sent < Received);
      RC_ASSERT(Received < Clocks[1 - From].tick());
    }
  }));
}
