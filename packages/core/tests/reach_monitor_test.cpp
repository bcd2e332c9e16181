/// \file
/// A VM finds out that it is cut off, and that it is not any more.

#include "manual_clock.h"
#include "masticproxy/Routing"

#include <criterion/criterion.h>

using namespace masticproxy;
using std::chrono::milliseconds;

namespace {

constexpr int Upstreams = 20;
constexpr milliseconds Step{50};

std::string nameOf(int Upstream) { return "u" + std::to_string(Upstream); }

/// Asks all upstreams again and again; the first \p Silent never answer.
struct reach_fixture {
  reach_fixture() { Monitor.follow(names(0, Upstreams)); }

  static std::vector<std::string> names(int First, int Last) {
    std::vector<std::string> Names;
    for (int I = First; I < Last; ++I)
      Names.push_back(nameOf(I));
    return Names;
  }

  bool cutOff() {
    Monitor.look();
    return Monitor.cutOff();
  }

  void run(milliseconds Span, int Silent) {
    for (milliseconds Past{0}; Past < Span; Past += Step) {
      for (int I = 0; I < Upstreams; ++I)
        Monitor.sent(nameOf(I));
      Clock.advance(Step);
      for (int I = Silent; I < Upstreams; ++I)
        Monitor.heard(nameOf(I));
      Monitor.look();
    }
  }

  /// Lets \p Span pass without requests. \returns whether the VM took itself
  /// for cut off meanwhile, while its probes are answered if \p Reached.
  bool cutOffWhileQuiet(milliseconds Span, bool Reached) {
    bool Seen = false;
    for (milliseconds Past{0}; Past < Span; Past += Step) {
      Clock.advance(Step);
      Seen = cutOff() || Seen;
      for (const std::string &Upstream : Monitor.takeProbes())
        if (Reached)
          Monitor.heard(Upstream);
    }
    return Seen;
  }

  manual_clock Clock;
  reach_monitor Monitor{Clock};
};

} // namespace

// A data centre is cut off: within a second, so that the balancer hears of it.
Test(reach_monitor, sees_a_cut_within_a_second) {
  reach_fixture F;
  F.run(milliseconds(2000), 0);
  cr_assert(not F.cutOff());
  F.run(milliseconds(1000), Upstreams);
  cr_assert(F.cutOff());
}

// Servers of many shards crash or go dark: another VM would fare no better.
Test(reach_monitor, takes_no_crash_of_many_for_a_cut) {
  reach_fixture F;
  F.run(milliseconds(10000), Upstreams / 2);
  cr_assert(not F.cutOff());
}

Test(reach_monitor, takes_no_pause_for_a_cut) {
  reach_fixture F;
  F.run(milliseconds(1000), 0);
  F.run(milliseconds(300), Upstreams);
  cr_assert(not F.cutOff());
}

Test(reach_monitor, takes_no_quiet_time_for_a_cut) {
  reach_fixture F;
  F.run(milliseconds(1000), 0);
  F.Clock.advance(std::chrono::minutes(1));
  cr_assert(not F.cutOff());
}

// Some upstreams crashed earlier, and then few requests come.
Test(reach_monitor, takes_no_earlier_crash_for_a_cut) {
  reach_fixture F;
  F.run(milliseconds(2000), Upstreams / 4);
  cr_assert(not F.cutOffWhileQuiet(std::chrono::seconds(10), true));
}

// Many VMs share the callers: a cut begins between two requests of this one,
// which go to some of the upstreams only.
Test(reach_monitor, sees_a_cut_by_the_first_request_after_it) {
  reach_fixture F;
  F.run(milliseconds(2000), 0);
  F.Clock.advance(milliseconds(500));
  for (int I = 0; I < Upstreams / 3; ++I)
    F.Monitor.sent(nameOf(I));
  cr_assert(F.cutOffWhileQuiet(milliseconds(900), false));
}

// The balancer sends callers to a data centre until all its VMs know of a cut.
Test(reach_monitor, sees_a_cut_without_any_request) {
  reach_fixture F;
  F.run(milliseconds(2000), 0);
  cr_assert(F.cutOffWhileQuiet(milliseconds(3000), false));
}

// Upstreams come and go for months: a VM without requests must not probe those
// that are gone, and take their silence for a cut.
Test(reach_monitor, probes_no_upstream_that_is_gone) {
  reach_fixture F;
  F.run(milliseconds(1000), 0);
  F.Monitor.follow(F.names(Upstreams - 1, Upstreams));
  F.Clock.advance(std::chrono::seconds(2));
  cr_assert(F.Monitor.takeProbes() == F.names(Upstreams - 1, Upstreams));
}

// The few upstreams that were asked are down, and others answer a probe.
Test(reach_monitor, asks_others_before_it_takes_silence_for_a_cut) {
  reach_fixture F;
  F.run(milliseconds(2000), 0);
  for (int I = 0; I < Upstreams / 4; ++I)
    F.Monitor.sent(nameOf(I));
  F.Clock.advance(milliseconds(500));
  cr_assert(not F.cutOff());
  for (const std::string &Upstream : F.Monitor.takeProbes())
    F.Monitor.heard(Upstream);
  cr_assert(not F.cutOffWhileQuiet(milliseconds(1500), true));
}

// The VM itself stood still: answers wait to be read.
Test(reach_monitor, forgets_a_cut_once_upstreams_answer) {
  reach_fixture F;
  for (int I = 0; I < Upstreams; ++I)
    F.Monitor.sent(nameOf(I));
  F.Clock.advance(std::chrono::seconds(4));
  for (int I = 0; I < Upstreams / 2; ++I)
    F.Monitor.heard(nameOf(I));
  cr_assert(not F.cutOff());
}

Test(reach_monitor, finds_the_end_of_a_cut_by_its_probes) {
  reach_fixture F;
  F.run(milliseconds(2000), Upstreams);
  cr_assert(F.cutOff());
  milliseconds Waited{0};
  while (F.cutOff() && Waited < std::chrono::seconds(10)) {
    for (const std::string &Upstream : F.Monitor.takeProbes())
      F.Monitor.heard(Upstream);
    F.Clock.advance(Step);
    Waited += Step;
  }
  cr_assert(Waited <= milliseconds(1000));
}

// A VM is cut off while the upstreams of other data centres are taken away:
// with none left to reach there is nothing that it could be cut off from.
Test(reach_monitor, ends_a_cut_once_no_upstream_is_left) {
  reach_fixture F;
  F.run(milliseconds(2000), Upstreams);
  cr_assert(F.cutOff());
  F.Monitor.follow({});
  cr_assert(not F.cutOff());
  cr_assert(not F.Monitor.nextProbe());
  // Those that come later are followed as after a start.
  F.Monitor.follow(F.names(0, Upstreams));
  F.run(milliseconds(1000), 0);
  cr_assert(not F.cutOff());
}

Test(reach_monitor, probes_few_at_a_time_and_all_in_turn) {
  reach_fixture F;
  F.run(milliseconds(2000), Upstreams);
  cr_assert(F.cutOff());
  std::map<std::string, int> Probed;
  constexpr int Rounds = 10;
  constexpr std::size_t MostInRound = 6;
  for (int I = 0; I < Rounds; ++I) {
    std::vector<std::string> Round = F.Monitor.takeProbes();
    cr_assert(Round.size() <= MostInRound);
    for (const std::string &Upstream : Round)
      ++Probed[Upstream];
    cr_assert(F.Monitor.takeProbes().empty());
    F.Clock.advance(milliseconds(300));
  }
  cr_assert(Probed.size() == Upstreams);
}
