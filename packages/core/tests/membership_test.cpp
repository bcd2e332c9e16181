/// \file
/// Members of a data centre: silence, return, and the platform's late list.

#include "manual_clock.h"
#include "masticproxy/Cluster"

#include <criterion/criterion.h>

using namespace masticproxy;
using std::chrono::seconds;

namespace {

member_info makeMember(const std::string &Name, std::uint64_t Incarnation) {
  return {Name, "dc1", Name + ":1", Incarnation, member_state::Alive};
}

heartbeat beatOf(const member_info &Member) {
  heartbeat Heartbeat;
  Heartbeat.Sender = Member;
  return Heartbeat;
}

} // namespace

Test(membership, suspects_then_gives_up_a_silent_peer) {
  manual_clock Clock;
  membership Members(Clock, makeMember("a", 1), {seconds(2), seconds(6)});
  Members.onHeartbeat(beatOf(makeMember("b", 1)));
  cr_assert(Members.sharers() == 2);
  Clock.advance(seconds(3));
  Members.tick();
  cr_assert(Members.peers()[0].State == member_state::Suspect);
  cr_assert(Members.sharers() == 2);
  Clock.advance(seconds(3));
  Members.tick();
  cr_assert(Members.peers()[0].State == member_state::Dead);
  cr_assert(Members.sharers() == 1);
  Members.onHeartbeat(beatOf(makeMember("b", 2)));
  cr_assert(Members.sharers() == 2);
}

Test(membership, ignores_an_earlier_incarnation) {
  manual_clock Clock;
  membership Members(Clock, makeMember("a", 1), {seconds(2), seconds(6)});
  Members.onHeartbeat(beatOf(makeMember("b", 2)));
  Clock.advance(seconds(6));
  Members.tick();
  Members.onHeartbeat(beatOf(makeMember("b", 1)));
  cr_assert(Members.peers()[0].State == member_state::Dead);
}

Test(membership, a_late_list_does_not_bring_back_the_dead) {
  manual_clock Clock;
  membership Members(Clock, makeMember("a", 1), {seconds(2), seconds(6)});
  Members.onHeartbeat(beatOf(makeMember("b", 1)));
  Clock.advance(seconds(6));
  Members.tick();
  std::vector<member_info> Listed{makeMember("b", 0)};
  Members.onListed(Listed);
  cr_assert(Members.peers()[0].State == member_state::Dead);
}
