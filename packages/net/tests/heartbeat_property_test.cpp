/// \file
/// VMs that share the platform's heartbeat, its copies of any age, writes that
/// are late or whose answers are lost, and VMs that pause: what a VM takes for
/// known is true, and never older than it is allowed to be.

#include "masticproxy/Net"
#include "masticproxy/src/Net/platform_freshness.h"
#include "settable_clock.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <memory>
#include <random>
#include <vector>

using namespace masticproxy;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds Tick{10};
constexpr milliseconds LongestAge{4000};
constexpr milliseconds Patience{1000};

struct faults {
  /// Longest lag of a copy; each call has its own.
  milliseconds Lag{9000};
  /// Calls of a thousand that are late, and whose answers are lost.
  unsigned Late = 0;
  unsigned Lost = 0;
  /// Broken variants.
  bool TimeIsOverstated = false;
  bool CopiesAreTrusted = false;
};

struct change {
  time_point At;
  std::uint64_t Revision = 0;
  std::optional<platform_heartbeat> Heartbeat;
};

/// \brief The platform: all changes since its start.
struct platform_world {
  settable_clock Clock;
  std::vector<change> Changes{{Clock.Time, 1, std::nullopt}};

  std::uint64_t revision() const { return Changes.back().Revision; }

  void add(std::optional<platform_heartbeat> Heartbeat) {
    std::uint64_t Next = revision() + 1;
    if (Heartbeat)
      Heartbeat->Revision = Next;
    Changes.push_back({Clock.Time, Next, Heartbeat});
  }

  heartbeat_reading read(duration Lag) const {
    heartbeat_reading Reading;
    for (const change &One : Changes) {
      if (One.At > Clock.Time - Lag)
        break;
      Reading.Shown = One.Revision;
      if (One.Heartbeat)
        Reading.Heartbeat = One.Heartbeat;
    }
    return Reading;
  }

  bool write(const heartbeat_write &Write) {
    auto Present = read(duration(0)).Heartbeat;
    if ((Present ? Present->Revision : 0) != Write.IfRevision)
      return false;
    add(Write.Heartbeat);
    return true;
  }

  /// \returns whether anything but the heartbeat changed after \p From, up to
  /// \p Until.
  bool hasForeignChange(std::uint64_t From, std::uint64_t Until) const {
    for (const change &One : Changes)
      if (One.Revision > From && One.Revision <= Until && !One.Heartbeat)
        return true;
    return false;
  }

  /// \returns whether a change before \p Time came after \p Revision.
  bool missesChange(std::uint64_t Revision, time_point Time,
                    bool Heartbeats) const {
    for (const change &One : Changes)
      if (One.At < Time && One.Revision > Revision &&
          (Heartbeats || !One.Heartbeat))
        return true;
    return false;
  }
};

/// \brief One VM and the call that it has under way.
class vm {
public:
  vm(platform_world &World, const faults &Faults, unsigned Seed)
      : World(World), Faults(Faults), Random(Seed),
        Schedule(World.Clock, Freshness, LongestAge, Seed) {}

  void tick() {
    if (Arrives && World.Clock.Time >= *Arrives)
      arrive();
    if (Answered && World.Clock.Time >= *Answered)
      answer();
    if (Answered || Arrives)
      return;
    heartbeat_action Action = Schedule.next();
    if (std::holds_alternative<heartbeat_wait>(Action))
      return;
    Call = Action;
    SentAt = World.Clock.Time;
    Arrives = SentAt + delay();
  }

  /// \returns whether what this VM takes for known is so.
  bool knowsTheTruth() const {
    auto AsOf = Freshness.Revision.unchangedAsOf(World.revision());
    if (AsOf)
      for (std::uint64_t Position = 1; Position < World.revision(); ++Position)
        if (Freshness.Revision.unchangedAsOf(Position) &&
            World.missesChange(Position, *AsOf, /*Heartbeats=*/false))
          return false;
    for (std::uint64_t Position = 1; Position < World.revision(); ++Position)
      if (auto UpTo = Freshness.Revision.unchangedUpTo(Position))
        if (World.hasForeignChange(Position, UpTo->Revision))
          return false;
    std::uint64_t Shown = World.read(lag()).Shown.Revision;
    auto CopyAsOf = Freshness.Copies.asOf(Shown);
    return !CopyAsOf || !World.missesChange(Shown, *CopyAsOf, true);
  }

  duration age() const { return World.Clock.Time - Schedule.currentAsOf(); }

  unsigned PlatformReads = 0;
  unsigned CopyReads = 0;
  unsigned Writes = 0;

private:
  bool happens(unsigned OfThousand) const {
    return std::uniform_int_distribution(0, 999)(Random) <
           static_cast<int>(OfThousand);
  }
  duration delay() const {
    int Longest = happens(Faults.Late) ? 6000 : 20;
    return milliseconds(std::uniform_int_distribution(0, Longest)(Random));
  }
  duration lag() const {
    return milliseconds(std::uniform_int_distribution(
        0, static_cast<int>(Faults.Lag.count()))(Random));
  }

  void arrive() {
    Arrives.reset();
    Answered = happens(Faults.Lost) ? World.Clock.Time + Patience
                                    : World.Clock.Time + delay();
    Lost = *Answered == World.Clock.Time + Patience;
    if (auto *Read = std::get_if<heartbeat_read>(&Call)) {
      bool Copy = Read->Source == read_freshness::MayLag;
      ++(Copy ? CopyReads : PlatformReads);
      Reading = World.read(Copy ? lag() : duration(0));
      Reading.SentAt = SentAt;
      Reading.Source =
          Faults.CopiesAreTrusted ? read_freshness::Newest : Read->Source;
      return;
    }
    ++Writes;
    auto Write = std::get<heartbeat_write>(Call);
    if (Faults.TimeIsOverstated)
      Write.Heartbeat.Elapsed += seconds(1) * Writes;
    Done = World.write(Write);
    Revision = World.revision();
  }

  void answer() {
    Answered.reset();
    if (Lost)
      return Schedule.onFailure();
    if (std::holds_alternative<heartbeat_read>(Call))
      return Schedule.onRead(Reading);
    Done ? Schedule.onWritten(Revision, SentAt) : Schedule.onConflict();
  }

  platform_world &World;
  const faults &Faults;
  mutable std::minstd_rand Random;
  platform_freshness Freshness;
  heartbeat_schedule Schedule;
  heartbeat_action Call;
  time_point SentAt{};
  std::optional<time_point> Arrives;
  std::optional<time_point> Answered;
  bool Lost = false;
  bool Done = false;
  std::uint64_t Revision = 0;
  heartbeat_reading Reading;
};

/// \brief Some VMs over \p Span, with foreign changes in between.
struct run {
  run(const faults &NewFaults, unsigned Seed, seconds Span)
      : Faults(NewFaults), Random(Seed) {
    for (unsigned I = 0; I < 4; ++I)
      Vms.push_back(std::make_unique<vm>(World, Faults, Seed + I));
    auto End = World.Clock.Time + Span;
    while (World.Clock.Time < End && Truthful)
      tick();
  }

  void tick() {
    World.Clock.Time += Tick;
    if (std::uniform_int_distribution(0, 299)(Random) == 0)
      World.add(std::nullopt);
    for (const auto &Vm : Vms)
      Vm->tick();
    if (World.Clock.Time.time_since_epoch() % milliseconds(100) != duration(0))
      return;
    for (const auto &Vm : Vms) {
      Truthful = Truthful && Vm->knowsTheTruth();
      Oldest = std::max(Oldest, Vm->age());
    }
  }

  faults Faults;
  std::minstd_rand Random;
  platform_world World;
  std::vector<std::unique_ptr<vm>> Vms;
  bool Truthful = true;
  duration Oldest{0};
};

bool truthful(const faults &Faults) {
  return rc::check([&] {
    auto Seed = *rc::gen::arbitrary<unsigned>();
    RC_ASSERT(run(Faults, Seed, seconds(40)).Truthful);
  });
}

} // namespace

// Guards against: an answer of a copy counts as newer than it is.
Test(heartbeat, shows_no_copy_newer_than_it_is) {
  cr_assert(truthful({.Late = 20, .Lost = 20}));
}

Test(heartbeat, the_property_sees_time_overstated) {
  cr_assert(not truthful({.TimeIsOverstated = true}));
}

Test(heartbeat, the_property_sees_copies_trusted) {
  cr_assert(not truthful({.CopiesAreTrusted = true}));
}

// Guards against: a VM relies on copies for longer than its bounds allow.
Test(heartbeat, knows_the_platform_within_the_longest_age) {
  cr_assert(rc::check([] {
    auto Seed = *rc::gen::arbitrary<unsigned>();
    auto Lag = milliseconds(*rc::gen::inRange(0, 9000));
    RC_ASSERT(run({.Lag = Lag}, Seed, seconds(40)).Oldest <= LongestAge);
  }));
}

// Guards against: reads of the platform itself where young copies would do.
Test(heartbeat, costs_a_read_of_the_platform_now_and_then) {
  constexpr unsigned Seed = 3;
  run Calm({.Lag = milliseconds(300)}, Seed, seconds(90));
  unsigned Writes = 0;
  for (const auto &Vm : Calm.Vms) {
    Writes += Vm->Writes;
    cr_assert(Vm->PlatformReads <= 4, "%u", Vm->PlatformReads);
    cr_assert(Vm->CopyReads <= 90, "%u", Vm->CopyReads);
  }
  cr_assert(Writes <= 95, "%u", Writes);
}

// Guards against: revisions of an earlier era show the age of copies of a new
// one, which gives them out again.
Test(heartbeat, shows_nothing_by_an_earlier_era) {
  copy_age Ages;
  time_point Now{std::chrono::hours(1)};
  platform_heartbeat One;
  One.Revision = 900;
  Ages.onReading({One, {900, 1}, read_freshness::Newest, Now});
  cr_assert(Ages.asOf({900, 1}) == Now);
  One.Revision = 300;
  Ages.onReading({One, {300, 2}, read_freshness::MayLag, Now + seconds(1)});
  cr_assert(not Ages.asOf({900, 1}));
  cr_assert(not Ages.asOf({950, 2}));
}
