/// \file
/// How the deaths that several VMs saw under one query add up.

#include "masticproxy/Poison"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace masticproxy;
using std::chrono::milliseconds;

namespace {

constexpr time_point Start{std::chrono::hours(1)};

/// \returns the tally of one death of \p Process.
death_tally deathOf(const std::string &Process, int StartedMs, int EndedMs) {
  return {death_tally::WholeRound,
          Start + milliseconds(StartedMs),
          Start + milliseconds(EndedMs),
          {Process}};
}

} // namespace

Test(death_tally, adds_up_deaths_one_after_the_other) {
  death_tally Tally = deathOf("a", 0, 10);
  Tally.merge(deathOf("b", 11, 20));
  cr_assert(Tally.rounds() == 2);
  death_tally Reverse = deathOf("b", 11, 20);
  Reverse.merge(deathOf("a", 0, 10));
  cr_assert(Reverse.rounds() == 2);
}

Test(death_tally, counts_deaths_at_one_time_as_one_round) {
  death_tally Tally = deathOf("a", 0, 10);
  Tally.merge(deathOf("b", 5, 20));
  cr_assert(Tally.rounds() == 1);
}

// Guards against: a VM whose clock jumps reads its own notice back as another
// death, and condemns an innocent query.
Test(death_tally, counts_one_process_once_at_any_time) {
  death_tally Tally = deathOf("a", 0, 10);
  Tally.merge(deathOf("a", 5000, 5010));
  cr_assert(Tally.rounds() == 1);
}

Test(death_tally, adds_up_nothing_without_processes) {
  death_tally Tally = deathOf("", 0, 10);
  Tally.Processes.clear();
  Tally.merge(deathOf("b", 11, 20));
  cr_assert(Tally.rounds() == 1);
}

Test(death_tally, survives_the_way_through_a_notice) {
  death_tally Tally = deathOf("a", 0, 10);
  poison_notice Notice = Tally.toNotice(1, "shard", Start + milliseconds(500));
  death_tally Read = death_tally::of(Notice, Start + milliseconds(500));
  Read.merge(Tally);
  cr_assert(Read.rounds() == 1 && Read.LastDeath == Tally.LastDeath &&
            Read.FirstStarted == Tally.FirstStarted);
}

// Tallies of several VMs, merged in any order and again and again, never count
// more rounds than processes died.
Test(death_tally, never_counts_a_death_twice) {
  cr_assert(rc::check([] {
    constexpr int Vms = 3;
    auto Deaths = *rc::gen::inRange(1, 5);
    std::vector<death_tally> Tallies(Vms);
    for (int I = 0; I < Deaths; ++I) {
      int Started = *rc::gen::inRange(0, 1000);
      int Ended = Started + *rc::gen::inRange(0, 100);
      death_tally Death = deathOf(std::to_string(I), Started, Ended);
      // Several VMs can see one death.
      for (int Seen = *rc::gen::inRange(1, Vms + 1); Seen > 0; --Seen)
        Tallies[*rc::gen::inRange(0, Vms)].merge(Death);
    }
    for (int Step = *rc::gen::inRange(0, 12); Step > 0; --Step) {
      death_tally From = Tallies[*rc::gen::inRange(0, Vms)];
      Tallies[*rc::gen::inRange(0, Vms)].merge(From);
    }
    for (const death_tally &Tally : Tallies)
      RC_ASSERT(Tally.rounds() <= static_cast<unsigned>(Deaths));
  }));
}
