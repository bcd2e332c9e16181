#include "drain_simulation.h"

using namespace masticproxy;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t VmCount = 5;
constexpr milliseconds Step{10};
constexpr unsigned MaxDelayMs = 400;
/// Of ten notices this many are lost on average, but no more than
/// MaxConsecutiveLosses in succession between two VMs.
constexpr unsigned LostOfTen = 5;
constexpr unsigned MaxConsecutiveLosses = 4;
/// Time after a refusal within which all VMs send the upstream no more work, as
/// promised to operators.
constexpr seconds HonouredWithin{3};
constexpr seconds ExclusionPeriod{10};
/// Time after the drain within which each VM sends the upstream work again.
constexpr milliseconds WorkResumesAfter{12500};
constexpr const char *Leaving = "127.0.0.1:1";

} // namespace

drain_simulation::drain_simulation(injected_drain_fault Fault, unsigned Seed)
    : Fault(Fault), Random(Seed) {
  for (unsigned I = 1; I <= 3; ++I)
    Replicas.push_back({"127.0.0.1:" + std::to_string(I), "dc1", 8, 40});
  for (std::size_t I = 0; I < VmCount; ++I) {
    Vms.emplace_back();
    Vms.back().Table = std::make_unique<upstream_table>(
        makePolicy(policy_name::Adaptive, Random()));
    Vms.back().Table->setDataCentre("dc1");
    Vms.back().StepsPerAttempt = 1 + draw(20);
    // Some VMs get their first work long after other VMs have detected the
    // drain.
    Vms.back().WorkFrom = Clock.now() + milliseconds(draw(2) * draw(20000));
  }
  ConsecutiveLosses.assign(VmCount, std::vector<unsigned>(VmCount, 0));
  DrainFrom = Clock.now() + milliseconds(1000 + draw(1000));
  DrainTo = DrainFrom + milliseconds(1000 + draw(24000));
}

void drain_simulation::run() {
  while (Clock.now() < DrainTo + WorkResumesAfter)
    step();
  checkExclusionEnded();
}

bool drain_simulation::isDraining() const {
  return Clock.now() >= DrainFrom && Clock.now() < DrainTo;
}

void drain_simulation::step() {
  Clock.advance(Step);
  endDueAttempts();
  deliver();
  for (std::size_t Vm = 0; Vm < VmCount; ++Vm) {
    if (Clock.now() >= Vms[Vm].WorkFrom && draw(Vms[Vm].StepsPerAttempt) == 0)
      sendAttempt(Vm);
    for (const drain_notice &Notice : Vms[Vm].Table->takeNotices(Clock.now()))
      sendNotice(Vm, Notice);
  }
}

void drain_simulation::sendAttempt(std::size_t Vm) {
  const replica *Chosen = Vms[Vm].Table->choose(Replicas, {}, Clock.now());
  if (!Chosen) {
    ++WithoutReplica;
    return;
  }
  for (time_point Refused : RefusedAt) {
    duration Since = Clock.now() - Refused;
    // An answer to a later attempt has shown this VM that the upstream accepts
    // work again.
    bool Known = Since >= HonouredWithin && Since < ExclusionPeriod &&
                 Vms[Vm].LastAnsweredSentAt <= Refused;
    if (Chosen->Address == Leaving && Known)
      ++LateAttempts;
  }
  Vms[Vm].Table->attemptStarted(Chosen->Address, Clock.now());
  Open.push_back({Vm, Chosen->Address, Clock.now(),
                  Clock.now() + milliseconds(1 + draw(30))});
}

void drain_simulation::endDueAttempts() {
  std::vector<attempt> Remaining;
  for (const attempt &Attempt : Open)
    if (Attempt.EndsAt <= Clock.now())
      endAttempt(Attempt);
    else
      Remaining.push_back(Attempt);
  Open = std::move(Remaining);
}

void drain_simulation::endAttempt(const attempt &Attempt) {
  upstream_table &Table = *Vms[Attempt.Vm].Table;
  Table.attemptEnded(Attempt.Upstream);
  attempt_facts Facts{Attempt.Upstream, "index", attempt_kind::First,
                      Clock.now() - Attempt.SentAt};
  // A draining upstream finishes work that it accepted before the drain.
  bool Refused = Attempt.Upstream == Leaving && isDraining() &&
                 Attempt.SentAt >= DrainFrom;
  if (!Refused) {
    if (Attempt.Upstream == Leaving)
      Vms[Attempt.Vm].LastAnsweredSentAt =
          std::max(Vms[Attempt.Vm].LastAnsweredSentAt, Attempt.SentAt);
    return Table.answered(Facts, Clock.now());
  }
  ++Refusals;
  RefusedAt.push_back(Clock.now());
  Table.failed(Facts, attempt_failure::Draining, Clock.now());
}

void drain_simulation::sendNotice(std::size_t Sender,
                                  const drain_notice &Notice) {
  bool Dropped = Fault == injected_drain_fault::NoNotices ||
                 (Fault == injected_drain_fault::NoRepetition &&
                  Notice.Age > milliseconds(0));
  if (Dropped)
    return;
  for (std::size_t Vm = 0; Vm < VmCount; ++Vm) {
    if (Vm == Sender)
      continue;
    unsigned &Lost = ConsecutiveLosses[Sender][Vm];
    if (draw(10) < LostOfTen && Lost < MaxConsecutiveLosses) {
      ++Lost;
      continue;
    }
    Lost = 0;
    for (unsigned Times = 1 + draw(2); Times > 0; --Times)
      NoticesInFlight.push_back(
          {Vm, Notice, Clock.now() + milliseconds(draw(MaxDelayMs))});
  }
}

void drain_simulation::deliver() {
  std::vector<delivery> Arrived;
  std::vector<delivery> Remaining;
  for (delivery &Delivery : NoticesInFlight)
    (Delivery.At <= Clock.now() ? Arrived : Remaining)
        .push_back(std::move(Delivery));
  NoticesInFlight = std::move(Remaining);
  for (delivery &Delivery : Arrived) {
    vm &Vm = Vms[Delivery.Vm];
    if (Fault == injected_drain_fault::NoAge)
      Delivery.Notice.Age = milliseconds(0);
    Vm.Table->onNotice(Delivery.Notice, Clock.now());
    bool Forwards = Fault == injected_drain_fault::ForwardsNotices &&
                    Clock.now() >= Vm.ForwardedAt + milliseconds(500);
    if (!Forwards)
      continue;
    Vm.ForwardedAt = Clock.now();
    sendNotice(Delivery.Vm, {Delivery.Notice.Upstream, milliseconds(0)});
  }
}

void drain_simulation::checkExclusionEnded() {
  std::vector<replica> Alone{Replicas.front()};
  for (const vm &Vm : Vms)
    if (!Vm.Table->anyAvailableBy(Alone, Clock.now()))
      ++StillExcluded;
}
