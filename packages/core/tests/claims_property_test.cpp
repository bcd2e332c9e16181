/// \file
/// One request id runs at most once over several VMs, and "not run" is true,
/// under generated schedules of arrivals, faults, pauses, crashes and sweeps.

#include "manual_clock.h"
#include "masticproxy/Claims"
#include "masticproxy/Query"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <map>
#include <random>
#include <set>

using namespace masticproxy;
using std::chrono::milliseconds;

namespace {

/// Ways in which the simulated VMs are wrong on purpose.
enum class defect {
  None,
  /// Any claim object that stands is taken for the own one.
  TakesForeignClaims,
  /// A claim without an answer is taken for granted.
  TrustsSilence,
  /// A claim is used although its id grew too old meanwhile.
  SkipsAgeCheck,
  /// Claims are swept at the end of their age, whatever the skew.
  SweepsWithoutMargin,
  /// The claim of a request that may have run is given back.
  ReleasesAlways,
  /// A caller whose request may have run is told that it was not run.
  CallsUnknownNotRun,
};

constexpr claim_timing Timing{milliseconds(2000), milliseconds(500),
                              milliseconds(300)};
constexpr milliseconds Wait{400};
constexpr std::size_t VmCount = 3;
constexpr unsigned IdCount = 2;
constexpr milliseconds Start = std::chrono::hours(1);

/// A VM's clock: the true time, moved by the VM's skew.
class skewed_clock : public masticproxy::clock {
public:
  skewed_clock(const manual_clock &True, milliseconds Skew)
      : True(True), Skew(Skew) {}
  time_point now() const override { return True.now(); }
  std::chrono::microseconds wallTime() const override {
    return True.wallTime() + Skew;
  }

private:
  const manual_clock &True;
  milliseconds Skew;
};

/// The platform's claim objects, with writes that land late.
class claim_store {
public:
  create_answer create(const std::string &Id, const std::string &Value) {
    auto [Position, Added] =
        Objects.try_emplace(Id, claim_found{Value, Last + 1});
    if (!Added)
      return Position->second;
    return claim_created{++Last};
  }
  void createLater(const create_claim &Operation) { Late.push_back(Operation); }
  void landLate() {
    for (const create_claim &Operation : std::exchange(Late, {}))
      create(Operation.RequestId, Operation.Value);
  }
  void remove(const remove_claim &Operation) {
    auto Found = Objects.find(Operation.RequestId);
    if (Found != Objects.end() && Found->second.Version == Operation.Version)
      Objects.erase(Found);
  }
  std::vector<remove_claim> list() const {
    std::vector<remove_claim> All;
    for (const auto &[Id, Object] : Objects)
      All.push_back({Id, Object.Version});
    return All;
  }

private:
  std::map<std::string, claim_found> Objects;
  std::vector<create_claim> Late;
  std::uint64_t Last = 0;
};

engine_limits limits() {
  engine_limits Limits;
  Limits.Queries = 16;
  Limits.DataCentre = "dc1";
  Limits.Claims = Timing;
  return Limits;
}

/// One VM: its engine and its claimant, joined as the daemon joins them.
struct vm {
  vm(const masticproxy::clock &Clock, std::string Process)
      : Clock(Clock), Engine(Clock, limits()),
        Claimant(Clock, std::move(Process), Timing) {}
  const masticproxy::clock &Clock;
  query_engine Engine;
  claimant Claimant;
  std::vector<send_attempt> Open;
  /// The arrival that may run each id.
  std::map<std::string, query_ticket> Granted;
  /// A call under way: a paused VM acts on its answer later.
  std::optional<create_claim> Calling;
  std::optional<create_answer> Answer;
};

class simulation {
public:
  explicit simulation(defect Defect) : Defect(Defect) {
    for (std::size_t I = 0; I < VmCount; ++I) {
      int Sign = static_cast<int>(I) - 1;
      Clocks.push_back(
          std::make_unique<skewed_clock>(True, Timing.MaxSkew * Sign));
    }
    Vms.resize(VmCount);
    for (std::size_t I = 0; I < VmCount; ++I)
      restart(I);
  }

  /// Does the step that \p Choice stands for, at the VM \p Index.
  void step(unsigned Choice, std::size_t Index, unsigned Detail) {
    vm &Vm = *Vms[Index];
    if (Choice < 3)
      return arrive(Index, Detail % IdCount);
    if (Choice < 8)
      return call(Vm, Detail % 8);
    if (Choice < 12)
      return takeAnswer(Vm);
    if (Choice < 14)
      return endAttempt(Vm, Detail);
    switch (Choice) {
    case 14:
      return True.advance(milliseconds(1 + Detail % 60));
    case 15:
      return sweep(Vm);
    case 16:
      return Store.landLate();
    case 17:
      return carryOut(Vm, Vm.Engine.handle(timer_fired{}));
    default:
      return rareStep(Index, Detail);
    }
  }

  bool RanTwice = false;
  bool LiedNotRun = false;
  unsigned Runs = 0;

private:
  void rareStep(std::size_t Index, unsigned Detail) {
    if (Detail % 12 < 4)
      moveTo(Base + Timing.MaxAge + milliseconds(Detail % 900) -
             milliseconds(400));
    else if (Detail % 12 < 7)
      Base = std::chrono::duration_cast<milliseconds>(True.wallTime());
    else if (Detail % 12 < 9)
      restart(Index);
  }

  void moveTo(std::chrono::microseconds Wall) {
    if (Wall > True.wallTime())
      True.advance(Wall - True.wallTime());
  }

  void restart(std::size_t Index) {
    Vms[Index] = std::make_unique<vm>(*Clocks[Index],
                                      "vm-" + std::to_string(Index) + "/" +
                                          std::to_string(++Starts));
    auto Map = std::make_shared<index_snapshot>();
    Map->Id = "s";
    Map->Shards = {{"0", {{"a", "dc1", 1, 64}, {"b", "dc1", 1, 64}}}};
    auto Catalogue = std::make_shared<query_catalogue>();
    Catalogue->setProfile({"p", Wait, 1.0, false});
    Catalogue->setIndex({"i", Map});
    Vms[Index]->Engine.handle(catalogue_changed{Catalogue});
  }

  void arrive(std::size_t Index, unsigned Id) {
    vm &Vm = *Vms[Index];
    // The ids in use carry nearly the same time, so they grow old together.
    std::string Text = std::to_string(Base.count() + Id);
    Text = std::string(13 - Text.size(), '0') + Text + "-x";
    carryOut(Vm,
             Vm.Engine.handle(query_arrived{++Ticket, Text, "p", "i", "{}"}));
  }

  void carryOut(vm &Vm, const std::vector<engine_command> &Commands) {
    for (const engine_command &Command : Commands) {
      if (auto *Wanted = std::get_if<claim_wanted>(&Command))
        Vm.Claimant.want(*Wanted);
      else if (auto *Unused = std::get_if<claim_unused>(&Command))
        Vm.Claimant.release(*Unused);
      else if (auto *Sent = std::get_if<send_attempt>(&Command))
        Vm.Open.push_back(*Sent);
      else if (auto *Told = std::get_if<deliver_outcome>(&Command))
        deliver(Vm, *Told);
    }
  }

  void deliver(vm &Vm, const deliver_outcome &Told) {
    bool Lies = Defect == defect::CallsUnknownNotRun &&
                std::holds_alternative<outcome_unknown>(Told.Outcome);
    if (Lies || std::holds_alternative<not_run>(Told.Outcome)) {
      ToldNotRun.insert(Told.Ticket);
      LiedNotRun = LiedNotRun || RanTickets.count(Told.Ticket) > 0;
      return;
    }
    if (Defect == defect::ReleasesAlways)
      for (const remove_claim &Claim : Store.list())
        if (Claim.RequestId == Told.RequestId)
          Vm.Claimant.release({Claim.RequestId, Claim.Version});
  }

  /// The next call to the platform and what becomes of it.
  void call(vm &Vm, unsigned Fault) {
    if (Vm.Calling)
      return;
    std::optional<claim_operation> Operation = Vm.Claimant.next();
    if (!Operation)
      return;
    if (auto *Remove = std::get_if<remove_claim>(&*Operation))
      return Fault == 1 ? void() : Store.remove(*Remove);
    Vm.Calling = std::get<create_claim>(*Operation);
    Vm.Answer = claim_unanswered{};
    if (Fault >= 2 && Fault < 7)
      Vm.Answer = Store.create(Vm.Calling->RequestId, Vm.Calling->Value);
    if (Fault == 2)
      Vm.Answer = claim_unanswered{};
    if (Fault == 7)
      Store.createLater(*Vm.Calling);
    spoilAnswer(Vm);
  }

  void spoilAnswer(vm &Vm) {
    auto *Found = std::get_if<claim_found>(&*Vm.Answer);
    if (Defect == defect::TakesForeignClaims && Found)
      Vm.Answer = claim_created{Found->Version};
    if (Defect == defect::TrustsSilence &&
        std::holds_alternative<claim_unanswered>(*Vm.Answer))
      Vm.Answer = claim_created{1};
  }

  void takeAnswer(vm &Vm) {
    if (!Vm.Calling)
      return;
    Vm.Claimant.answered(*Vm.Calling, *Vm.Answer);
    bool Created = std::holds_alternative<claim_created>(*Vm.Answer);
    Vm.Calling.reset();
    for (claim_decision &Decision : Vm.Claimant.takeDecisions()) {
      bool TooOld = std::holds_alternative<claim_too_old>(Decision.Verdict);
      if (Defect == defect::SkipsAgeCheck && TooOld && Created)
        Decision.Verdict = claim_granted{1};
      if (std::holds_alternative<claim_granted>(Decision.Verdict))
        Vm.Granted[Decision.RequestId] = Decision.Ticket;
      carryOut(Vm, Vm.Engine.handle(Decision));
    }
  }

  /// An attempt that was sent is refused, or runs with or without an answer.
  void endAttempt(vm &Vm, unsigned Detail) {
    if (Vm.Open.empty())
      return;
    send_attempt Sent = Vm.Open.back();
    Vm.Open.pop_back();
    if (Detail % 4 == 0)
      return carryOut(Vm, Vm.Engine.handle(attempt_failed{
                              Sent.Attempt, attempt_failure::Refused}));
    if (Sent.Deadline <= True.now())
      return carryOut(Vm, Vm.Engine.handle(attempt_failed{
                              Sent.Attempt, attempt_failure::NotSent}));
    ++Runs;
    query_ticket Arrival = Vm.Granted.at(Sent.RequestId);
    RanTickets.insert(Arrival);
    LiedNotRun = LiedNotRun || ToldNotRun.count(Arrival) > 0;
    RanTwice = !RanIds.insert(Sent.RequestId).second || RanTwice;
    if (Detail % 4 == 1)
      return carryOut(Vm, Vm.Engine.handle(attempt_failed{
                              Sent.Attempt, attempt_failure::Unknown}));
    carryOut(Vm, Vm.Engine.handle(attempt_answered{
                     Sent.Attempt, {Sent.RequestId, "s", "0", "body"}}));
  }

  void sweep(vm &Vm) {
    claim_timing Used = Timing;
    if (Defect == defect::SweepsWithoutMargin)
      Used.MaxSkew = milliseconds(0);
    for (const remove_claim &Claim :
         sweepClaims(Store.list(), Vm.Clock.wallTime(), Used, IdCount))
      Store.remove(Claim);
  }

  const defect Defect;
  manual_clock True;
  std::vector<std::unique_ptr<skewed_clock>> Clocks;
  std::vector<std::unique_ptr<vm>> Vms;
  claim_store Store;
  std::set<std::string> RanIds;
  std::set<query_ticket> RanTickets;
  std::set<query_ticket> ToldNotRun;
  milliseconds Base = Start;
  query_ticket Ticket = 0;
  unsigned Starts = 0;
};

constexpr unsigned Steps = 600;
constexpr unsigned Choices = 19;
constexpr unsigned SchedulesPerCase = 50;

/// Whether every generated schedule keeps the promises, with \p Defect. A
/// schedule follows from a number, as shrinking long ones takes minutes.
bool holds(defect Defect) {
  return rc::check([Defect] {
    auto Seed = *rc::gen::noShrink(
        rc::gen::resize(100, rc::gen::inRange(0U, 1U << 30U)));
    std::mt19937 Random(Seed);
    unsigned Runs = 0;
    for (unsigned Schedule = 0; Schedule < SchedulesPerCase; ++Schedule) {
      simulation Simulation(Defect);
      for (unsigned I = 0; I < Steps; ++I) {
        unsigned Choice = Random() % Choices;
        std::size_t Vm = Random() % VmCount;
        Simulation.step(Choice, Vm, Random());
      }
      Runs += Simulation.Runs;
      RC_ASSERT_FALSE(Simulation.RanTwice);
      RC_ASSERT_FALSE(Simulation.LiedNotRun);
    }
    RC_ASSERT(Runs > SchedulesPerCase);
  });
}

} // namespace

Test(claims, no_id_runs_twice_and_not_run_is_true) {
  cr_assert(holds(defect::None));
}

Test(claims, the_property_sees_foreign_claims_taken) {
  cr_assert_not(holds(defect::TakesForeignClaims));
}

Test(claims, the_property_sees_silence_trusted) {
  cr_assert_not(holds(defect::TrustsSilence));
}

Test(claims, the_property_sees_the_age_check_skipped) {
  cr_assert_not(holds(defect::SkipsAgeCheck));
}

Test(claims, the_property_sees_sweeps_without_margin) {
  cr_assert_not(holds(defect::SweepsWithoutMargin));
}

Test(claims, the_property_sees_claims_of_runs_given_back) {
  cr_assert_not(holds(defect::ReleasesAlways));
}

Test(claims, the_property_sees_an_untrue_not_run) {
  cr_assert_not(holds(defect::CallsUnknownNotRun));
}
