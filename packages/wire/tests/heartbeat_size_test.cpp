/// \file
/// The bytes that heartbeats take at the target size: 40 VMs of a data centre,
/// for which a VM may spend 22 kB a second, headers of TCP and IP included.

#include "masticproxy/Base"
#include "masticproxy/Cluster"
#include "masticproxy/Wire"

#include <criterion/criterion.h>

using namespace masticproxy;

namespace {

constexpr std::size_t Vms = 40;
constexpr double IntervalsPerSecond = 2;
constexpr double BytesPerSecond = 22000;
/// Of a segment and of its acknowledgement, with timestamps.
constexpr double HeaderBytes = 104;

class still_clock : public clock {
public:
  time_point now() const override { return Now; }
  std::chrono::microseconds wallTime() const override {
    return std::chrono::microseconds(0);
  }
  time_point Now{std::chrono::hours(1)};
};

member_info vm(std::size_t Index) {
  std::string Number = std::to_string(10 + Index);
  return {"vm-" + Number, "data-centre-1", "10.20.30." + Number + ":8201",
          1764800000000000 + Index, member_state::Alive};
}

/// Bytes that one VM sends a second to peers that all hear each other.
double bytesSentPerSecond() {
  still_clock Clock;
  membership Members(Clock, vm(0),
                     {std::chrono::seconds(2), std::chrono::seconds(6)});
  // The first round makes the members known, the second gives their digest.
  for (unsigned Round = 1; Round <= 2; ++Round)
    for (std::size_t I = 1; I < Vms; ++I) {
      heartbeat Heartbeat;
      Heartbeat.Sender = vm(I);
      Heartbeat.Sequence = Round;
      Heartbeat.Receiver.Incarnation = vm(0).Incarnation;
      Heartbeat.MembersDigest = Members.digest();
      Members.onHeartbeat(Heartbeat);
    }
  constexpr unsigned Intervals = 160;
  double Bytes = 0;
  for (unsigned I = 0; I < Intervals; ++I)
    for (const member_info &Peer : Members.receivers()) {
      heartbeat Heartbeat = Members.makeHeartbeat(Peer);
      Heartbeat.Receiver.Counted = true;
      Heartbeat.ConfigurationRevision = 1000000 + I;
      Heartbeat.ConfigurationDigest = ~I;
      Bytes += HeaderBytes;
      Bytes += static_cast<double>(
          makeFrame(encodePeerMessage(peer_message(Heartbeat), {1, 1})).size());
    }
  return Bytes / Intervals * IntervalsPerSecond;
}

} // namespace

Test(heartbeat_size, what_is_sent_and_received_fits_the_budget) {
  double BothWays = 2 * bytesSentPerSecond();
  cr_assert(BothWays <= BytesPerSecond, "%f bytes a second", BothWays);
}
