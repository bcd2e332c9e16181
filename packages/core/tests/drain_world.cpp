#include "drain_world.h"

using namespace masticproxy;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t VmCount = 5;
constexpr milliseconds Step{10};
constexpr unsigned LongestDelayMs = 400;
/// Of ten notices so many are lost, but no more than so many in a row.
constexpr unsigned LostOfTen = 5;
constexpr unsigned MostLostInRow = 4;
/// What the operators are promised.
constexpr seconds Honoured{3};
constexpr seconds Span{10};
/// Time after the drain in which each VM gives the upstream work again.
constexpr milliseconds BackAfter{12500};
constexpr const char *Leaving = "127.0.0.1:1";

} // namespace

drain_world::drain_world(drain_defect Defect, unsigned Seed)
    : Defect(Defect), Random(Seed) {
  for (unsigned I = 1; I <= 3; ++I)
    Replicas.push_back({"127.0.0.1:" + std::to_string(I), "dc1", 8, 40});
  for (std::size_t I = 0; I < VmCount; ++I) {
    Vms.emplace_back();
    Vms.back().Table = std::make_unique<upstream_table>(
        makePolicy(policy_name::Adaptive, Random()));
    Vms.back().Table->setDataCentre("dc1");
    Vms.back().WorkEvery = 1 + draw(20);
    // Some VMs get their first work long after the drain was seen.
    Vms.back().WorkFrom = Clock.now() + milliseconds(draw(2) * draw(20000));
  }
  LostInRow.assign(VmCount, std::vector<unsigned>(VmCount, 0));
  DrainFrom = Clock.now() + milliseconds(1000 + draw(1000));
  DrainTo = DrainFrom + milliseconds(1000 + draw(24000));
}

void drain_world::run() {
  while (Clock.now() < DrainTo + BackAfter)
    step();
  checkReturn();
}

bool drain_world::drains() const {
  return Clock.now() >= DrainFrom && Clock.now() < DrainTo;
}

void drain_world::step() {
  Clock.advance(Step);
  endAttempts();
  deliver();
  for (std::size_t Vm = 0; Vm < VmCount; ++Vm) {
    if (Clock.now() >= Vms[Vm].WorkFrom && draw(Vms[Vm].WorkEvery) == 0)
      work(Vm);
    for (const drain_notice &Notice : Vms[Vm].Table->takeNotices(Clock.now()))
      tell(Vm, Notice);
  }
}

void drain_world::work(std::size_t Vm) {
  const replica *Chosen = Vms[Vm].Table->choose(Replicas, {}, Clock.now());
  if (!Chosen) {
    ++WithoutReplica;
    return;
  }
  for (time_point Refused : RefusedAt) {
    duration Since = Clock.now() - Refused;
    // An answer to a later attempt shows this VM that the upstream is back.
    bool Known = Since >= Honoured && Since < Span && Vms[Vm].GoodAt <= Refused;
    if (Chosen->Address == Leaving && Known)
      ++TooLate;
  }
  Vms[Vm].Table->attemptStarted(Chosen->Address);
  Open.push_back({Vm, Chosen->Address, Clock.now(),
                  Clock.now() + milliseconds(1 + draw(30))});
}

void drain_world::endAttempts() {
  std::vector<attempt> Still;
  for (const attempt &Attempt : Open)
    if (Attempt.EndsAt <= Clock.now())
      end(Attempt);
    else
      Still.push_back(Attempt);
  Open = std::move(Still);
}

void drain_world::end(const attempt &Attempt) {
  upstream_table &Table = *Vms[Attempt.Vm].Table;
  Table.attemptEnded(Attempt.Upstream);
  attempt_facts Facts{Attempt.Upstream, "index", attempt_kind::First,
                      Clock.now() - Attempt.SentAt};
  // Work taken before the drain is finished.
  bool Refused =
      Attempt.Upstream == Leaving && drains() && Attempt.SentAt >= DrainFrom;
  if (!Refused) {
    if (Attempt.Upstream == Leaving)
      Vms[Attempt.Vm].GoodAt = std::max(Vms[Attempt.Vm].GoodAt, Attempt.SentAt);
    return Table.answered(Facts, Clock.now());
  }
  ++Refusals;
  RefusedAt.push_back(Clock.now());
  Table.failed(Facts, attempt_failure::Draining, Clock.now());
}

void drain_world::tell(std::size_t Sender, const drain_notice &Notice) {
  bool Dropped =
      Defect == drain_defect::NoNotices ||
      (Defect == drain_defect::NoRepetition && Notice.Age > milliseconds(0));
  if (Dropped)
    return;
  for (std::size_t Vm = 0; Vm < VmCount; ++Vm) {
    if (Vm == Sender)
      continue;
    unsigned &Lost = LostInRow[Sender][Vm];
    if (draw(10) < LostOfTen && Lost < MostLostInRow) {
      ++Lost;
      continue;
    }
    Lost = 0;
    for (unsigned Times = 1 + draw(2); Times > 0; --Times)
      UnderWay.push_back(
          {Vm, Notice, Clock.now() + milliseconds(draw(LongestDelayMs))});
  }
}

void drain_world::deliver() {
  std::vector<parcel> Arrived;
  std::vector<parcel> Still;
  for (parcel &Parcel : UnderWay)
    (Parcel.At <= Clock.now() ? Arrived : Still).push_back(std::move(Parcel));
  UnderWay = std::move(Still);
  for (parcel &Parcel : Arrived) {
    vm &Vm = Vms[Parcel.Vm];
    if (Defect == drain_defect::NoAge)
      Parcel.Notice.Age = milliseconds(0);
    Vm.Table->onNotice(Parcel.Notice, Clock.now());
    bool TellsOn = Defect == drain_defect::Hearsay &&
                   Clock.now() >= Vm.ToldOn + milliseconds(500);
    if (!TellsOn)
      continue;
    Vm.ToldOn = Clock.now();
    tell(Parcel.Vm, {Parcel.Notice.Upstream, milliseconds(0)});
  }
}

void drain_world::checkReturn() {
  std::vector<replica> Alone{Replicas.front()};
  for (const vm &Vm : Vms)
    if (!Vm.Table->anyAvailableBy(Alone, Clock.now()))
      ++StillOut;
}
