/// \file
/// Profiles take turns at places that become free, and nothing is lost.

#include "masticproxy/Admission"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <map>
#include <string_view>

using namespace masticproxy;

namespace {

/// Which line the items of a profile stand in.
using line_of = std::string_view (*)(std::string_view Profile);

std::string_view ownLine(std::string_view Profile) { return Profile; }
std::string_view commonLine(std::string_view) { return "all"; }

struct waiting_item {
  std::string Profile;
  bool Live = true;
};

bool isLive(const waiting_item &Item) { return Item.Live; }

/// The quiet profile's items are served within two places for each of them,
/// however many of the flood's wait; each live one is served once.
bool takesTurns(line_of LineOf) {
  return rc::check([LineOf] {
    int Flood = *rc::gen::inRange(0, 50);
    int Quiet = *rc::gen::inRange(1, 10);
    turn_queue<waiting_item> Queue;
    int LiveFlood = 0;
    for (int I = 0; I < Flood; ++I) {
      waiting_item Item{"flood", *rc::gen::arbitrary<bool>()};
      LiveFlood += Item.Live ? 1 : 0;
      Queue.push(LineOf("flood"), Item);
    }
    for (int I = 0; I < Quiet; ++I)
      Queue.push(LineOf("quiet"), {"quiet"});
    if (*rc::gen::arbitrary<bool>())
      Queue.clean(isLive);
    std::map<std::string, int> Served;
    for (int Places = 0; Places < 2 * Quiet; ++Places)
      if (auto Item = Queue.take(isLive))
        ++Served[Item->Profile];
    RC_ASSERT(Served["quiet"] == Quiet);
    while (auto Item = Queue.take(isLive))
      ++Served[Item->Profile];
    RC_ASSERT(Served["flood"] == LiveFlood);
    RC_ASSERT(Queue.empty());
  });
}

} // namespace

Test(turn_queue, profiles_take_turns) { cr_assert(takesTurns(ownLine)); }

Test(turn_queue, the_property_catches_one_common_line) {
  cr_assert_not(takesTurns(commonLine));
}
