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

/// Members that are not dead, this VM included.
std::size_t living(const membership &Members) {
  std::size_t Count = 1;
  for (const member_info &Peer : Members.peers())
    Count += Peer.State == member_state::Dead ? 0 : 1;
  return Count;
}

/// Lets time pass in steps shorter than a pause of this VM.
void pass(manual_clock &Clock, membership &Members, duration Span) {
  for (; Span > duration::zero(); Span -= seconds(1)) {
    Clock.advance(seconds(1));
    Members.tick();
  }
}

} // namespace

Test(membership, suspects_then_gives_up_a_silent_peer) {
  manual_clock Clock;
  membership Members(Clock, makeMember("a", 1), {seconds(2), seconds(6)});
  Members.onHeartbeat(beatOf(makeMember("b", 1)));
  cr_assert(living(Members) == 2);
  pass(Clock, Members, seconds(3));
  cr_assert(Members.peers()[0].State == member_state::Suspect);
  cr_assert(living(Members) == 2);
  pass(Clock, Members, seconds(3));
  cr_assert(Members.peers()[0].State == member_state::Dead);
  cr_assert(living(Members) == 1);
  Members.onHeartbeat(beatOf(makeMember("b", 2)));
  cr_assert(living(Members) == 2);
}

Test(membership, ignores_an_earlier_incarnation) {
  manual_clock Clock;
  membership Members(Clock, makeMember("a", 1), {seconds(2), seconds(6)});
  Members.onHeartbeat(beatOf(makeMember("b", 2)));
  pass(Clock, Members, seconds(6));
  Members.onHeartbeat(beatOf(makeMember("b", 1)));
  cr_assert(Members.peers()[0].State == member_state::Dead);
}

Test(membership, a_late_list_does_not_bring_back_the_dead) {
  manual_clock Clock;
  membership Members(Clock, makeMember("a", 1), {seconds(2), seconds(6)});
  Members.onHeartbeat(beatOf(makeMember("b", 1)));
  pass(Clock, Members, seconds(6));
  std::vector<member_info> Listed{makeMember("b", 0)};
  Members.onListed(Listed);
  cr_assert(Members.peers()[0].State == member_state::Dead);
}
