/// \file
/// Rings between threads, and with both ends on one thread.

#include "masticproxy/Net"

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace masticproxy;

Test(ring_channel, refuses_what_has_no_room) {
  int Wakeups = 0;
  ring_channel<int> Ring(2, [&] { ++Wakeups; });
  cr_assert(Ring.push(1) && Ring.push(2));
  cr_assert(not Ring.push(3));
  cr_assert(Wakeups == 1);
  std::vector<int> Received;
  Ring.drain([&](int Item) { Received.push_back(Item); });
  cr_assert(Received == (std::vector<int>{1, 2}));
  cr_assert(Ring.push(4) && Wakeups == 2);
}

// A sender that waits on the receiver's own thread would wait for ever.
Test(ring_channel, lets_a_receiver_on_the_senders_thread_make_room) {
  std::vector<int> Received;
  ring_channel<int> *Made = nullptr;
  ring_channel<int> Ring(
      2, [] {},
      [&] { Made->drain([&](int Item) { Received.push_back(Item); }); });
  Made = &Ring;
  for (int Item = 0; Item < 7; ++Item)
    Ring.pushWaiting(Item);
  Ring.drain([&](int Item) { Received.push_back(Item); });
  cr_assert(Received == (std::vector<int>{0, 1, 2, 3, 4, 5, 6}));
}

Test(ring_channel, keeps_the_order_between_two_threads) {
  constexpr int Items = 10000;
  ring_channel<int> Ring(16, [] {});
  std::thread Sender([&] {
    for (int Item = 0; Item < Items; ++Item)
      Ring.pushWaiting(Item);
  });
  int Next = 0;
  bool Ordered = true;
  while (Next < Items)
    Ring.drain([&](int Item) { Ordered = Ordered && Item == Next++; });
  Sender.join();
  cr_assert(Ordered);
}

Test(ring_channel, frees_what_nobody_received) {
  auto Item = std::make_shared<std::string>("text");
  {
    ring_channel<std::shared_ptr<std::string>> Ring(2, [] {});
    Ring.push(Item);
    cr_assert(Item.use_count() == 2);
  }
  cr_assert(Item.use_count() == 1);
}
