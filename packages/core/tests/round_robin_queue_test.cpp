/// \file
/// Tests of round_robin_queue: profiles are served in turns, and no live item
/// is lost or served twice.

#include "masticproxy/Admission"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <map>
#include <string_view>

using namespace masticproxy;

namespace {

/// Returns the name under which the items of a profile are queued.
using key_of = std::string_view (*)(std::string_view Profile);

std::string_view ownKey(std::string_view Profile) { return Profile; }
std::string_view commonKey(std::string_view) { return "all"; }

struct waiting_item {
  std::string Profile;
  bool Live = true;
};

bool isLive(const waiting_item &Item) { return Item.Live; }

/// Checks that all items of the quiet profile are served within two calls of
/// pop() for each of them, however many items of the flood are queued, and that
/// each live item is served once.
bool servesRoundRobin(key_of KeyOf) {
  return rc::check([KeyOf] {
    int Flood = *rc::gen::inRange(0, 50);
    int Quiet = *rc::gen::inRange(1, 10);
    round_robin_queue<waiting_item> Queue;
    int LiveFlood = 0;
    for (int I = 0; I < Flood; ++I) {
      waiting_item Item{"flood", *rc::gen::arbitrary<bool>()};
      LiveFlood += Item.Live ? 1 : 0;
      Queue.push(KeyOf("flood"), Item);
    }
    for (int I = 0; I < Quiet; ++I)
      Queue.push(KeyOf("quiet"), {"quiet"});
    if (*rc::gen::arbitrary<bool>())
      Queue.prune(isLive);
    std::map<std::string, int> Served;
    for (int Pops = 0; Pops < 2 * Quiet; ++Pops)
      if (auto Item = Queue.pop(isLive))
        ++Served[Item->Profile];
    RC_ASSERT(Served["quiet"] == Quiet);
    while (auto Item = Queue.pop(isLive))
      ++Served[Item->Profile];
    RC_ASSERT(Served["flood"] == LiveFlood);
    RC_ASSERT(Queue.empty());
  });
}

} // namespace

Test(round_robin_queue, serves_profiles_round_robin) {
  cr_assert(servesRoundRobin(ownKey));
}

// A mutant that queues the items of all profiles in order of arrival.
Test(round_robin_queue, detects_one_common_queue) {
  cr_assert_not(servesRoundRobin(commonKey));
}
