/// \file
/// The time line's order between VMs whose clocks differ: what a VM does after
/// a peer's message is stamped later than the message.

#include "masticproxy/Base"
#include "masticproxy/Daemon"
#include "masticproxy/Net"

#include <criterion/criterion.h>

#include <semaphore>
#include <string>

using namespace masticproxy;

namespace {

constexpr const char *FastAddress = "127.0.0.1:26450";
constexpr const char *SlowAddress = "127.0.0.1:26451";
constexpr std::chrono::seconds Longest{20};

class set_clock : public clock {
public:
  explicit set_clock(std::chrono::microseconds Wall) : Wall(Wall) {}
  time_point now() const override { return time_point(Wall); }
  std::chrono::microseconds wallTime() const override { return Wall; }

private:
  std::chrono::microseconds Wall;
};

/// One VM's peers duty, with a clock of its own.
struct peer_vm {
  peer_vm(const char *Address, std::chrono::microseconds Wall)
      : Clock(Wall), Timeline(Clock), Peers(Address, Timeline, Counters),
        Inbox(8, [this] { Arrived.release(); }) {
    Peers.connect(Inbox);
    Peers.start();
  }
  ~peer_vm() { Peers.stop(); }

  set_clock Clock;
  hybrid_clock Timeline;
  counter_registry Counters;
  peers_thread Peers;
  std::counting_semaphore<> Arrived{0};
  peer_inbox_ring Inbox;
};

} // namespace

Test(peer_stamps, what_follows_a_peers_message_is_later_than_the_message) {
  peer_vm Fast(FastAddress, std::chrono::hours(2));
  peer_vm Slow(SlowAddress, std::chrono::hours(1));
  hybrid_time Before = Fast.Timeline.tick();
  cr_assert(Slow.Timeline.tick() < Before);
  Fast.Peers.outbox().push(
      {SlowAddress, std::make_shared<const peer_message>(
                        configuration_pull{7, FastAddress})});
  cr_assert(Slow.Arrived.try_acquire_for(Longest));
  cr_assert(Before < Slow.Timeline.tick());
}
