/// \file
/// Generated schedules over the VMs of a whole system as it is deployed on the
/// users' platform: no exchange between VMs, no probing of new queries, and the
/// platform's store as the only way from one VM to another. One query crashes
/// every upstream that runs it and comes again at any VM. Upstreams close their
/// connections as they end, or refuse new ones, or fall silent and register
/// anew under another identity.

#include "manual_clock.h"
#include "masticproxy/Poison"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>

using namespace masticproxy;
using std::chrono::milliseconds;

namespace {

/// Faults that can be injected into the simulated VMs.
enum class injected_fault {
  None,
  PublishesNothing,
  ForgetsAtRestart,
  IgnoresSilentEnds,
  IgnoresNewStarts
};

/// How upstreams end.
enum class upstream_end { Closes, Refuses, StartsAnew };

/// The users' rule: after the third crash and this time, at most three further
/// sends by VMs that were undisturbed for this time, as the store was.
constexpr std::size_t FreeCrashes = 3;
constexpr milliseconds StableWindow{4000};
constexpr unsigned MaxLateSends = 3;

constexpr unsigned MostVms = 24;
constexpr unsigned Upstreams = 12;
constexpr unsigned AttemptsOfRequest = 2;
constexpr unsigned Sends = 60;
constexpr milliseconds Step{100};
/// Time from a write at the store until a VM has applied it: the copy's lag and
/// the pause in which changes gather.
constexpr int LongestReadLagMs = 2250;
constexpr int LongestSendGapMs = 1500;
/// Time after which an attempt without a response is given up.
constexpr milliseconds AttemptTimeout{300};
/// Time after which an upstream that ended registers anew, and time until a VM
/// has heard of a registration.
constexpr int ShortestRestartMs = 1000;
constexpr int LongestRestartMs = 3000;
constexpr int LongestRegistrationLagMs = 350;

struct stored_notice {
  poison_notice Notice;
  std::uint64_t Version = 0;
  time_point Written;
};

struct simulated_vm {
  explicit simulated_vm(const masticproxy::clock &Clock)
      : Guard(Clock, /*ProbeFirst=*/false), Publisher(Clock) {}

  poison_guard Guard;
  notice_publisher Publisher;
  /// Version up to which it has applied what the store holds.
  std::uint64_t Read = 0;
  std::optional<time_point> ReadAt;
  std::optional<time_point> Restarted;
};

class simulation {
public:
  simulation(injected_fault Fault, unsigned Seed) : Fault(Fault), Random(Seed) {
    unsigned Count = 1 + Random() % MostVms;
    for (unsigned I = 0; I < Count; ++I)
      Vms.push_back(std::make_unique<simulated_vm>(Clock));
    End = static_cast<upstream_end>(Random() % 3);
    FaultyStore = Random() % 2 == 0;
    Restarts = Random() % 2 == 0;
  }

  void run() {
    for (unsigned I = 0; I < Sends; ++I) {
      pass(milliseconds(number(LongestSendGapMs)));
      if (Restarts && number(10) == 0)
        restart(anyVm());
      if (FaultyStore && number(15) == 0)
        StoreDownUntil = Clock.now() + milliseconds(number(6000));
      send(*Vms[anyVm()]);
    }
  }

  unsigned LateSends = 0;

private:
  int number(int Below) { return static_cast<int>(Random() % Below); }
  unsigned anyVm() { return Random() % Vms.size(); }

  bool storeIsUp() const { return Clock.now() >= StoreDownUntil; }

  bool isInTouch(const simulated_vm &Vm) const {
    time_point From = Clock.now() - StableWindow;
    return StoreDownUntil <= From && (!Vm.Restarted || *Vm.Restarted <= From);
  }

  void pass(milliseconds Span) {
    for (milliseconds Left = Span; Left > milliseconds(0); Left -= Step) {
      Clock.advance(std::min(Left, Step));
      hearOfStarts();
      for (auto &Vm : Vms) {
        write(*Vm);
        read(*Vm);
      }
    }
  }

  /// Lets each VM hear of the upstreams that started anew.
  void hearOfStarts() {
    for (new_start &Start : Starts) {
      if (Start.Heard || Start.HeardAt > Clock.now() || !storeIsUp())
        continue;
      Start.Heard = true;
      auto IsIt = [&Start](const upstream_attempt &Attempt) {
        return Attempt.Process == Start.Ended;
      };
      for (poison_notice &Notice : Vms[Start.Vm]->Guard.upstreamsDied(IsIt))
        share(*Vms[Start.Vm], std::move(Notice));
    }
  }

  void write(simulated_vm &Vm) {
    while (storeIsUp()) {
      std::optional<notice_write> Write = Vm.Publisher.next();
      if (!Write)
        return;
      if (auto *Publish = std::get_if<publish_notice>(&*Write))
        put(Vm, *Publish);
      else
        Vm.Publisher.conflicted(*Write, std::nullopt, 0);
    }
  }

  void put(simulated_vm &Vm, const publish_notice &Write) {
    std::uint64_t Current = Stored ? Stored->Version : 0;
    if (Write.Version != Current)
      return Vm.Publisher.conflicted(
          Write, Stored ? std::optional(heard()) : std::nullopt, Current);
    if (Fault != injected_fault::PublishesNothing)
      Stored = stored_notice{Write.Notice, Current + 1, Clock.now()};
    Vm.Publisher.written(Write, Current + 1);
  }

  void read(simulated_vm &Vm) {
    bool News = Stored && Stored->Version > Vm.Read;
    if (!News || !storeIsUp())
      return;
    if (!Vm.ReadAt)
      Vm.ReadAt = Clock.now() + milliseconds(number(LongestReadLagMs));
    if (Clock.now() < *Vm.ReadAt)
      return;
    Vm.ReadAt.reset();
    Vm.Read = Stored->Version;
    Vm.Guard.onNotice(heard());
  }

  /// \returns the stored notice as a VM reads it.
  poison_notice heard() const {
    poison_notice Notice = Stored->Notice;
    Notice.Age +=
        std::chrono::duration_cast<milliseconds>(Clock.now() - Stored->Written);
    return Notice;
  }

  void restart(unsigned Index) {
    Vms[Index] = std::make_unique<simulated_vm>(Clock);
    Vms[Index]->Restarted = Clock.now();
    if (Fault == injected_fault::ForgetsAtRestart && Stored)
      Vms[Index]->Read = Stored->Version;
  }

  void send(simulated_vm &Vm) {
    for (unsigned I = 0; I < AttemptsOfRequest; ++I) {
      pass(milliseconds(1));
      // The number of crashes makes the identity of each start.
      std::string Upstream = "u" + std::to_string(number(Upstreams)) + "/" +
                             std::to_string(Crashes.size());
      bool Refused =
          Vm.Guard.condemned(Query) || !Vm.Guard.mayStart(Query, Upstream);
      if (Refused)
        return;
      attempt(Vm, Upstream);
    }
  }

  void attempt(simulated_vm &Vm, const std::string &Upstream) {
    if (Crashes.size() >= FreeCrashes && isInTouch(Vm) &&
        Clock.now() > Crashes[FreeCrashes - 1] + StableWindow)
      ++LateSends;
    Vm.Guard.started(++Attempts, Query, Upstream, "shard");
    Crashes.push_back(Clock.now());
    if (End == upstream_end::Closes) {
      pass(milliseconds(2));
      return share(Vm, Vm.Guard.upstreamDied(Attempts));
    }
    std::uint64_t Silent = Attempts;
    pass(AttemptTimeout);
    Vm.Guard.lost(Silent);
    if (End == upstream_end::StartsAnew)
      return startAnew(Vm, Upstream);
    if (Fault == injected_fault::IgnoresSilentEnds)
      return;
    // Another request finds that nothing listens there.
    Vm.Guard.started(++Attempts, Other, Upstream, "shard");
    for (poison_notice &Notice : Vm.Guard.refusedConnection(Attempts))
      share(Vm, std::move(Notice));
  }

  void startAnew(const simulated_vm &Vm, const std::string &Upstream) {
    if (Fault == injected_fault::IgnoresNewStarts)
      return;
    auto Found = std::find_if(Vms.begin(), Vms.end(), [&Vm](const auto &Other) {
      return Other.get() == &Vm;
    });
    int After = ShortestRestartMs +
                number(LongestRestartMs - ShortestRestartMs) +
                number(LongestRegistrationLagMs);
    Starts.push_back({static_cast<std::size_t>(Found - Vms.begin()), Upstream,
                      Clock.now() - AttemptTimeout + milliseconds(After)});
  }

  static void share(simulated_vm &Vm, std::optional<poison_notice> Notice) {
    if (Notice)
      Vm.Publisher.onNotice(*Notice);
  }

  static constexpr query_fingerprint Query = 1;
  static constexpr query_fingerprint Other = 2;

  const injected_fault Fault;
  std::mt19937 Random;
  manual_clock Clock;
  std::vector<std::unique_ptr<simulated_vm>> Vms;
  std::optional<stored_notice> Stored;
  time_point StoreDownUntil{};
  std::vector<time_point> Crashes;
  std::uint64_t Attempts = 0;
  struct new_start {
    /// Who ran the attempt.
    std::size_t Vm;
    /// The process that ended.
    std::string Ended;
    time_point HeardAt;
    bool Heard = false;
  };
  std::vector<new_start> Starts;
  upstream_end End = upstream_end::Closes;
  bool FaultyStore = false;
  bool Restarts = false;
};

bool holds(injected_fault Fault) {
  return rc::check([Fault] {
    auto Seed = *rc::gen::noShrink(
        rc::gen::resize(100, rc::gen::inRange(0U, 1U << 30U)));
    simulation Simulation(Fault, Seed);
    Simulation.run();
    RC_ASSERT(Simulation.LateSends <= MaxLateSends);
  });
}

} // namespace

// Guards against: over all VMs a request that crashes upstreams is sent on more
// often than the users' rule allows.
Test(poison_sharing, few_sends_follow_after_the_third_crash) {
  cr_assert(holds(injected_fault::None));
}

Test(poison_sharing, detects_vms_that_publish_nothing) {
  cr_assert_not(holds(injected_fault::PublishesNothing));
}

Test(poison_sharing, detects_vms_that_forget_at_a_restart) {
  cr_assert_not(holds(injected_fault::ForgetsAtRestart));
}

Test(poison_sharing, detects_silent_ends_that_are_ignored) {
  cr_assert_not(holds(injected_fault::IgnoresSilentEnds));
}

Test(poison_sharing, detects_new_starts_that_are_ignored) {
  cr_assert_not(holds(injected_fault::IgnoresNewStarts));
}
