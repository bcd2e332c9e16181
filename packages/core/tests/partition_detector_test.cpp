/// \file
/// Tests that a VM detects that it is partitioned, and the end of the
/// partition.

#include "manual_clock.h"
#include "masticproxy/Routing"

#include <criterion/criterion.h>

using namespace masticproxy;
using std::chrono::milliseconds;

namespace {

constexpr int Upstreams = 20;
constexpr milliseconds Step{50};

std::string nameOf(int Upstream) { return "u" + std::to_string(Upstream); }

/// A detector that follows a set of upstreams.
struct partition_fixture {
  partition_fixture() { Monitor.follow(names(0, Upstreams)); }

  static std::vector<std::string> names(int First, int Last) {
    std::vector<std::string> Names;
    for (int I = First; I < Last; ++I)
      Names.push_back(nameOf(I));
    return Names;
  }

  bool isPartitioned() {
    Monitor.evaluate();
    return Monitor.isPartitioned();
  }

  /// Sends to all upstreams in each step of \p Span. The first \p Unresponsive
  /// never respond.
  void run(milliseconds Span, int Unresponsive) {
    for (milliseconds Past{0}; Past < Span; Past += Step) {
      for (int I = 0; I < Upstreams; ++I)
        Monitor.recordSent(nameOf(I));
      Clock.advance(Step);
      for (int I = Unresponsive; I < Upstreams; ++I)
        Monitor.recordResponse(nameOf(I));
      Monitor.evaluate();
    }
  }

  /// Advances time by \p Span without requests. Probes are answered if
  /// \p Responding. \returns whether a partition was reported meanwhile.
  bool partitionedWhileIdle(milliseconds Span, bool Responding) {
    bool Detected = false;
    for (milliseconds Past{0}; Past < Span; Past += Step) {
      Clock.advance(Step);
      Detected = isPartitioned() || Detected;
      for (const std::string &Upstream : Monitor.takeProbes())
        if (Responding)
          Monitor.recordResponse(Upstream);
    }
    return Detected;
  }

  manual_clock Clock;
  partition_detector Monitor{Clock};
};

} // namespace

// A data centre is partitioned. This is detected within a second, so that the
// balancer learns of it in time.
Test(partition_detector, detects_a_partition_within_a_second) {
  partition_fixture F;
  F.run(milliseconds(2000), 0);
  cr_assert(not F.isPartitioned());
  F.run(milliseconds(1000), Upstreams);
  cr_assert(F.isPartitioned());
}

// Upstreams of many shards crash or stop responding. Another VM would not reach
// them either.
Test(partition_detector, reports_no_partition_when_half_the_upstreams_crash) {
  partition_fixture F;
  F.run(milliseconds(10000), Upstreams / 2);
  cr_assert(not F.isPartitioned());
}

Test(partition_detector, reports_no_partition_after_a_short_pause) {
  partition_fixture F;
  F.run(milliseconds(1000), 0);
  F.run(milliseconds(300), Upstreams);
  cr_assert(not F.isPartitioned());
}

Test(partition_detector, reports_no_partition_after_idle_time) {
  partition_fixture F;
  F.run(milliseconds(1000), 0);
  F.Clock.advance(std::chrono::minutes(1));
  cr_assert(not F.isPartitioned());
}

// Some upstreams crashed earlier, and few requests arrive afterwards.
Test(partition_detector, reports_no_partition_after_an_earlier_crash) {
  partition_fixture F;
  F.run(milliseconds(2000), Upstreams / 4);
  cr_assert(not F.partitionedWhileIdle(std::chrono::seconds(10), true));
}

// Many VMs share the callers, so a partition may begin between two requests of
// one VM, and its next request goes only to some of the upstreams.
Test(partition_detector, detects_a_partition_by_the_first_request_after_it) {
  partition_fixture F;
  F.run(milliseconds(2000), 0);
  F.Clock.advance(milliseconds(500));
  for (int I = 0; I < Upstreams / 3; ++I)
    F.Monitor.recordSent(nameOf(I));
  cr_assert(F.partitionedWhileIdle(milliseconds(900), false));
}

// The balancer sends callers to a data centre until all its VMs have detected
// the partition, including VMs without requests.
Test(partition_detector, detects_a_partition_without_requests) {
  partition_fixture F;
  F.run(milliseconds(2000), 0);
  cr_assert(F.partitionedWhileIdle(milliseconds(3000), false));
}

// Upstreams are listed and removed for months. A VM without requests must not
// probe removed ones, as it would take the missing responses for a partition.
Test(partition_detector, probes_no_removed_upstream) {
  partition_fixture F;
  F.run(milliseconds(1000), 0);
  F.Monitor.follow(F.names(Upstreams - 1, Upstreams));
  F.Clock.advance(std::chrono::seconds(2));
  cr_assert(F.Monitor.takeProbes() == F.names(Upstreams - 1, Upstreams));
}

// The few upstreams that got sub-requests are down, and others answer probes.
Test(partition_detector, probes_other_upstreams_before_reporting_a_partition) {
  partition_fixture F;
  F.run(milliseconds(2000), 0);
  for (int I = 0; I < Upstreams / 4; ++I)
    F.Monitor.recordSent(nameOf(I));
  F.Clock.advance(milliseconds(500));
  cr_assert(not F.isPartitioned());
  for (const std::string &Upstream : F.Monitor.takeProbes())
    F.Monitor.recordResponse(Upstream);
  cr_assert(not F.partitionedWhileIdle(milliseconds(1500), true));
}

// The VM itself was paused, and responses wait to be read.
Test(partition_detector, reports_no_partition_once_upstreams_respond) {
  partition_fixture F;
  for (int I = 0; I < Upstreams; ++I)
    F.Monitor.recordSent(nameOf(I));
  F.Clock.advance(std::chrono::seconds(4));
  for (int I = 0; I < Upstreams / 2; ++I)
    F.Monitor.recordResponse(nameOf(I));
  cr_assert(not F.isPartitioned());
}

Test(partition_detector, detects_the_end_of_a_partition_by_probes) {
  partition_fixture F;
  F.run(milliseconds(2000), Upstreams);
  cr_assert(F.isPartitioned());
  milliseconds Waited{0};
  while (F.isPartitioned() && Waited < std::chrono::seconds(10)) {
    for (const std::string &Upstream : F.Monitor.takeProbes())
      F.Monitor.recordResponse(Upstream);
    F.Clock.advance(Step);
    Waited += Step;
  }
  cr_assert(Waited <= milliseconds(1000));
}

// The upstreams of other data centres are removed from the list during a
// partition. With none left there is nothing to be partitioned from.
Test(partition_detector, ends_a_partition_when_no_upstream_is_left) {
  partition_fixture F;
  F.run(milliseconds(2000), Upstreams);
  cr_assert(F.isPartitioned());
  F.Monitor.follow({});
  cr_assert(not F.isPartitioned());
  cr_assert(not F.Monitor.nextProbe());
  // Upstreams that are listed later are followed as after a start.
  F.Monitor.follow(F.names(0, Upstreams));
  F.run(milliseconds(1000), 0);
  cr_assert(not F.isPartitioned());
}

Test(partition_detector, probes_few_upstreams_per_round_and_all_in_turn) {
  partition_fixture F;
  F.run(milliseconds(2000), Upstreams);
  cr_assert(F.isPartitioned());
  std::map<std::string, int> Probed;
  constexpr int Rounds = 10;
  constexpr std::size_t MaxPerRound = 6;
  for (int I = 0; I < Rounds; ++I) {
    std::vector<std::string> Round = F.Monitor.takeProbes();
    cr_assert(Round.size() <= MaxPerRound);
    for (const std::string &Upstream : Round)
      ++Probed[Upstream];
    cr_assert(F.Monitor.takeProbes().empty());
    F.Clock.advance(milliseconds(300));
  }
  cr_assert(Probed.size() == Upstreams);
}
