#include "masticproxy/src/Daemon/platform_thread.h"

#include "masticproxy/src/Base/counter_registry.h"
#include "masticproxy/src/Daemon/error_boundary.h"
#include "masticproxy/src/Daemon/failure_pause.h"
#include "masticproxy/src/Net/platform_api.h"

using namespace masticproxy;

namespace {

constexpr std::chrono::milliseconds FirstPause{50};
constexpr std::chrono::milliseconds LongestPause{5000};

/// Each watch that ends by a change is followed by the next: a token for each
/// call keeps a flood of edits from becoming a flood of calls.
constexpr std::chrono::milliseconds CallInterval{250};
constexpr unsigned CallBurst = 12;

/// How often a VM that does not watch reads the list of VMs.
constexpr std::chrono::seconds IdleListInterval{30};

/// How often a platform that is behind what was accepted is read again.
constexpr std::chrono::milliseconds BehindPause{2000};

/// Pause after a change that was no configuration. Every claim object ends the
/// watch, and each watch counts against the platform's read rate.
constexpr std::chrono::milliseconds QuietPause{200};

std::vector<member_info> toMembers(const std::vector<platform_vm> &Vms) {
  std::vector<member_info> Members;
  for (const platform_vm &Vm : Vms) {
    member_info Member;
    Member.Name = Vm.Name;
    Member.DataCentre = Vm.DataCentre;
    Member.PeerAddress = Vm.PeerAddress;
    Member.State = Vm.Leaving ? member_state::Leaving : member_state::Alive;
    Members.push_back(std::move(Member));
  }
  return Members;
}

configuration_push toPush(const platform_changes &Changes) {
  configuration_push Push;
  Push.Revision = Changes.Revision;
  for (const platform_object &Object : Changes.Objects)
    if (Object.Kind == "profile" || Object.Kind == "index")
      Push.Records.push_back({Object.Kind, Object.Name, Object.Version,
                              Object.Deleted, Object.Value});
  return Push;
}

} // namespace

platform_thread::platform_thread(platform_api &Platform, const clock &Clock,
                                 std::chrono::milliseconds WatchWait,
                                 counter_registry &Counters)
    : Platform(Platform), WatchWait(WatchWait), Counters(Counters),
      Budget(Clock, CallInterval, CallBurst), Backoff(FirstPause, LongestPause),
      Clock(Clock) {}

platform_thread::~platform_thread() { stop(); }

void platform_thread::start() {
  Thread = std::thread([this] { run(); });
}

void platform_thread::stop() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
  }
  Wake.notify_all();
  if (Thread.joinable())
    Thread.join();
}

void platform_thread::follow(bool Watch, std::uint64_t Revision) {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Watching = Watch;
    KnownRevision = Revision;
  }
  Wake.notify_all();
}

void platform_thread::run() {
  while (std::optional<bool> Watch = waitForDuty())
    if (!runContained(Counters, "platform", [&] { step(*Watch); }))
      pause(LongestPause);
}

void platform_thread::step(bool Watch) {
  if (Watch)
    follow();
  else
    listVms(IdleListInterval);
}

void platform_thread::follow() {
  bool Answered = followOnce();
  Reachable.store(Answered);
  if (!Answered)
    return pause(pauseAfterFailure(Backoff));
  Backoff.onSuccess();
  if (Follower.behind())
    pause(BehindPause);
}

std::optional<bool> platform_thread::waitForDuty() {
  std::unique_lock<std::mutex> Lock(Mutex);
  Wake.wait_until(Lock, NextListing, [this] { return Stopping || Watching; });
  if (Stopping)
    return std::nullopt;
  Follower.followFrom(KnownRevision);
  return Watching;
}

bool platform_thread::followOnce() {
  if (!Listed || Clock.now() >= NextListing)
    listVms(WatchWait);
  if (!spendCall())
    return true;
  // The first watch returns at once, with all objects there are.
  std::uint64_t After = Follower.watchAfter();
  platform_changes_result Result = Platform.watch(After, WatchWait);
  auto *Changes = std::get_if<platform_changes>(&Result);
  if (!Changes) {
    Counters.get("platform_errors_total").add();
    return false;
  }
  configuration_push Push = toPush(*Changes);
  bool Quiet = Push.Records.empty() && !Changes->Objects.empty();
  push(platform_changed{Follower.onAnswer(After, std::move(Push)),
                        Follower.behind()});
  if (Quiet)
    pause(QuietPause);
  return true;
}

void platform_thread::listVms(duration Interval) {
  if (!spendCall())
    return;
  // Set first: while the platform is down, the idle VMs don't press on it.
  NextListing = Clock.now() + Interval;
  platform_vms_result Result = Platform.listVms();
  auto *Vms = std::get_if<std::vector<platform_vm>>(&Result);
  Listed = Vms != nullptr;
  if (Vms)
    push(vms_listed{toMembers(*Vms)});
}

bool platform_thread::spendCall() {
  while (!Budget.take()) {
    Counters.get("platform_calls_held_back_total").add();
    pause(Budget.untilNext());
    std::lock_guard<std::mutex> Lock(Mutex);
    if (Stopping)
      return false;
  }
  Counters.get("platform_calls_total").add();
  return true;
}

void platform_thread::pause(duration Span) {
  std::unique_lock<std::mutex> Lock(Mutex);
  Wake.wait_for(Lock, Span, [this] { return Stopping; });
}

void platform_thread::push(const platform_event &Event) {
  while (!Control->push(Event)) {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (Stopping)
      return;
    std::this_thread::yield();
  }
}
