/// \file
/// Configuration, members and connection shares of many VMs under generated
/// faults; each property is seen to catch a rule that is broken on purpose.

#include "control_fleet.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <ostream>

using namespace masticproxy;
using std::chrono::seconds;

namespace {

constexpr unsigned VmCount = 5;

enum class action {
  Kill,
  Start,
  Pause,
  Resume,
  CutOneWay,
  /// Unless the other way is cut.
  CutOneWayOnly,
  CutBothWays,
  Heal,
  PlatformDown,
  PlatformUp,
  StaleReads,
  FreshReads,
  Edit,
  Delete,
};

struct planned_action {
  action What;
  unsigned Who;
  unsigned Other;
  unsigned StepsAfter;
};

/// How RapidCheck prints a schedule that fails.
void showValue(const planned_action &Action, std::ostream &Out) {
  constexpr const char *Names[] = {
      "Kill",          "Start",       "Pause", "Resume",       "CutOneWay",
      "CutOneWayOnly", "CutBothWays", "Heal",  "PlatformDown", "PlatformUp",
      "StaleReads",    "FreshReads",  "Edit",  "Delete"};
  Out << Names[static_cast<std::size_t>(Action.What)] << " " << Action.Who
      << " " << Action.Other << " +" << Action.StepsAfter;
}

std::string vmName(unsigned Index) { return "vm-" + std::to_string(Index); }

constexpr unsigned LongestPlan = 50;

std::vector<planned_action> schedule(const std::vector<action> &Allowed) {
  // The whole range of each number from the first run on.
  auto Count =
      *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0U, LongestPlan));
  return *rc::gen::resize(
      rc::kNominalSize,
      rc::gen::container<std::vector<planned_action>>(
          Count,
          rc::gen::construct<planned_action>(
              rc::gen::elementOf(Allowed), rc::gen::inRange(0U, VmCount),
              rc::gen::inRange(0U, VmCount), rc::gen::inRange(0U, 60U))));
}

void carryOut(control_fleet &Fleet, const planned_action &Action) {
  std::string Who = vmName(Action.Who);
  std::string Other = vmName(Action.Other);
  switch (Action.What) {
  case action::Kill:
    return Fleet.kill(Who);
  case action::Start:
    if (!Fleet.Vms.contains(Who))
      Fleet.start(Who);
    return;
  case action::Pause:
    return Fleet.pause(Who);
  case action::Resume:
    return Fleet.resume(Who);
  case action::CutBothWays:
    Fleet.Cuts.insert({Other, Who});
    [[fallthrough]];
  case action::CutOneWay:
    Fleet.Cuts.insert({Who, Other});
    return;
  case action::CutOneWayOnly:
    if (!Fleet.Cuts.contains({Other, Who}))
      Fleet.Cuts.insert({Who, Other});
    return;
  case action::Heal:
    return Fleet.Cuts.clear();
  case action::PlatformDown:
    Fleet.Platform.Down = true;
    return;
  case action::PlatformUp:
    Fleet.Platform.Down = false;
    return;
  case action::StaleReads:
    Fleet.StalePlatform = Fleet.Platform;
    Fleet.StaleReads = true;
    return;
  case action::FreshReads:
    Fleet.StaleReads = false;
    return;
  case action::Edit:
    return Fleet.Platform.write(Other, /*Deleted=*/false);
  case action::Delete:
    return Fleet.Platform.write(Other, /*Deleted=*/true);
  }
}

void begin(control_fleet &Fleet, bool Lossy) {
  Fleet.Loss = Lossy ? 20 : 0;
  Fleet.Doubled = Lossy ? 5 : 0;
  Fleet.Platform.write("first", false);
  for (unsigned I = 0; I < VmCount; ++I)
    Fleet.start(vmName(I));
  Fleet.run(seconds(15));
}

void endFaults(control_fleet &Fleet) {
  Fleet.Cuts.clear();
  Fleet.Loss = 0;
  Fleet.Platform.Down = false;
  Fleet.StaleReads = false;
  for (unsigned I = 0; I < VmCount; ++I)
    Fleet.resume(vmName(I));
  // The platform still lists all that ran, and a cut may have outlasted the
  // members' memory.
  std::vector<member_info> Listed;
  for (const auto &[Name, Vm] : Fleet.Vms)
    Listed.push_back(Vm->Members.self());
  for (const auto &[Name, Vm] : Fleet.Vms)
    Vm->Members.onListed(Listed);
}

/// Runs the plan; \returns whether \p Holds did after each step.
template <typename Check>
bool holdsThroughout(control_fleet &Fleet,
                     const std::vector<planned_action> &Plan, Check Holds) {
  for (const planned_action &Action : Plan) {
    carryOut(Fleet, Action);
    for (unsigned I = 0; I <= Action.StepsAfter; ++I) {
      Fleet.step();
      if (!Holds())
        return false;
    }
  }
  return true;
}

const std::vector<action> AnyFault{
    action::Kill,       action::Start,        action::Pause,
    action::Resume,     action::CutOneWay,    action::CutBothWays,
    action::Heal,       action::PlatformDown, action::PlatformUp,
    action::StaleReads, action::FreshReads,   action::Edit,
    action::Edit,       action::Delete};

/// Joins, losses, pauses and one-way cuts, all that the strict sum stands. Two
/// VMs that hear nothing of each other are a split, which has a test of its
/// own.
const std::vector<action> NoSplit{action::Kill,          action::Start,
                                  action::Pause,         action::Resume,
                                  action::CutOneWayOnly, action::Heal};

bool configurationProperty(fleet_faults Faults) {
  return rc::check([=] {
    control_fleet Fleet(*rc::gen::arbitrary<unsigned>(), Faults);
    begin(Fleet, /*Lossy=*/true);
    bool Forward = holdsThroughout(Fleet, schedule(AnyFault),
                                   [&] { return !Fleet.Reverted; });
    RC_ASSERT(Forward);
    endFaults(Fleet);
    Fleet.run(seconds(15));
    RC_ASSERT(Fleet.allLevel());
    Fleet.Platform.write("last", false);
    Fleet.run(seconds(8));
    RC_ASSERT(Fleet.allLevel());
    RC_ASSERT(!Fleet.Reverted);
  });
}

bool membershipProperty(fleet_faults Faults) {
  return rc::check([=] {
    control_fleet Fleet(*rc::gen::arbitrary<unsigned>(), Faults);
    begin(Fleet, /*Lossy=*/true);
    holdsThroughout(Fleet, schedule(AnyFault), [] { return true; });
    endFaults(Fleet);
    Fleet.run(seconds(15));
    RC_ASSERT(Fleet.membersAgree());
    Fleet.run(seconds(65));
    auto Share = static_cast<unsigned>(
        Fleet.Vms.empty() ? 0 : Fleet.Limit / Fleet.Vms.size());
    for (const auto &[Name, Vm] : Fleet.Vms)
      RC_ASSERT(Vm->Held == Share);
  });
}

bool shareProperty(fleet_faults Faults) {
  return rc::check([=] {
    control_fleet Fleet(*rc::gen::arbitrary<unsigned>(), Faults);
    Fleet.Limit = *rc::gen::element(2U, 4U, 7U, 65U);
    begin(Fleet, /*Lossy=*/true);
    bool Within = holdsThroughout(Fleet, schedule(NoSplit), [&] {
      return Fleet.heldByRunning() <= Fleet.Limit;
    });
    if (!Within)
      RC_FAIL(Fleet.describe());
  });
}

/// \returns whether a VM that only one other hears is given up by none.
bool oneWitnessIsEnough(fleet_faults Faults) {
  constexpr unsigned Count = 12;
  control_fleet Fleet(1, Faults);
  for (unsigned I = 0; I < Count; ++I)
    Fleet.start(vmName(I));
  Fleet.run(seconds(15));
  for (unsigned I = 2; I < Count; ++I)
    Fleet.Cuts.insert({vmName(0), vmName(I)});
  for (unsigned I = 0; I < 4 * 60; ++I) {
    Fleet.step();
    if (!Fleet.membersAgree())
      return false;
  }
  return true;
}

} // namespace

Test(control_fleet, a_member_that_only_one_hears_is_not_given_up) {
  cr_assert(oneWitnessIsEnough({}));
}

Test(control_fleet, questions_that_are_not_heard_are_caught) {
  cr_assert(not oneWitnessIsEnough({.ForgetsQuestions = true}));
}

Test(control_fleet, forty_vms_agree_and_share_alike) {
  constexpr unsigned Count = 40;
  control_fleet Fleet(1);
  Fleet.Loss = 5;
  for (unsigned I = 0; I < Count; ++I)
    Fleet.start(vmName(I));
  Fleet.run(seconds(15));
  for (unsigned I = 0; I < 4 * 30; ++I) {
    Fleet.step();
    cr_assert(Fleet.membersAgree());
  }
  for (const auto &[Name, Vm] : Fleet.Vms)
    cr_assert(Vm->Held == Fleet.Limit / Count);
}

Test(control_fleet, configuration_goes_forward_and_becomes_level) {
  cr_assert(configurationProperty({}));
}

Test(control_fleet, a_table_completed_beyond_a_gap_is_caught) {
  cr_assert(not configurationProperty({.CompletesBeyondGaps = true}));
}

Test(control_fleet, a_table_that_takes_old_versions_is_caught) {
  cr_assert(not configurationProperty({.AppliesOldVersions = true}));
}

Test(control_fleet, members_agree_after_quiet_and_share_alike) {
  cr_assert(membershipProperty({}));
}

Test(control_fleet, members_that_believe_hearsay_are_caught) {
  cr_assert(not membershipProperty({.BelievesHearsay = true}));
}

Test(control_fleet, the_sum_of_connections_stays_within_the_limit) {
  cr_assert(shareProperty({}));
}

Test(control_fleet, joining_without_acknowledgement_is_caught) {
  cr_assert(not shareProperty({.JoinsUnacknowledged = true}));
}

Test(control_fleet, growing_at_once_is_caught) {
  cr_assert(not shareProperty({.GrowsAtOnce = true}));
}

Test(control_fleet, holding_on_through_a_pause_is_caught) {
  cr_assert(not shareProperty({.HoldsThroughPauses = true}));
}

Test(control_fleet, a_split_exceeds_the_limit_by_less_than_half) {
  // Each way to split the VMs into two groups that hear nothing of each other.
  for (unsigned Group = 1; Group < (1U << (VmCount - 1)); ++Group) {
    control_fleet Fleet(Group);
    begin(Fleet, /*Lossy=*/false);
    for (unsigned A = 0; A < VmCount; ++A)
      for (unsigned B = 0; B < VmCount; ++B)
        if (((Group >> A) & 1U) != ((Group >> B) & 1U))
          Fleet.Cuts.insert({vmName(A), vmName(B)});
    for (unsigned I = 0; I < 4 * 60; ++I) {
      Fleet.step();
      cr_assert(Fleet.heldByRunning() * 2 < Fleet.Limit * 3);
    }
  }
}

Test(control_fleet, a_data_centre_without_platform_learns_from_another) {
  control_fleet Fleet(1);
  Fleet.Loss = 20;
  Fleet.Platform.write("first", false);
  for (unsigned I = 0; I < VmCount; ++I) {
    Fleet.start("a" + std::to_string(I), "dc1");
    Fleet.start("b" + std::to_string(I), "dc2");
  }
  Fleet.run(seconds(15));
  Fleet.WithoutPlatform.insert("dc2");
  for (unsigned I = 0; I < 20; ++I) {
    Fleet.Platform.write("edit", false);
    Fleet.run(seconds(8));
    cr_assert(Fleet.allLevel());
  }
}

Test(control_fleet, few_vms_watch) {
  control_fleet Fleet(1);
  begin(Fleet, /*Lossy=*/false);
  auto Watching = [&] {
    unsigned Count = 0;
    for (const auto &[Name, Vm] : Fleet.Vms)
      Count += Vm->Watching ? 1 : 0;
    return Count;
  };
  cr_assert(Watching() == WatchersWanted);
  Fleet.Platform.Down = true;
  Fleet.run(seconds(60));
  cr_assert(Watching() <= WatchersAtMost);
  Fleet.Platform.Down = false;
  Fleet.run(seconds(20));
  cr_assert(Watching() == WatchersWanted);
}
