#include "masticproxy/src/Daemon/platform_thread.h"

#include "masticproxy/src/Base/counter_registry.h"
#include "masticproxy/src/Net/platform_api.h"

#include <algorithm>
#include <random>

using namespace masticproxy;

namespace {

constexpr std::chrono::milliseconds FirstPause{50};
constexpr std::chrono::milliseconds LongestPause{5000};
constexpr unsigned MaxDoublings = 10;

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

platform_thread::platform_thread(platform_api &Platform,
                                 std::chrono::milliseconds WatchWait,
                                 counter_registry &Counters)
    : Platform(Platform), WatchWait(WatchWait), Counters(Counters) {}

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

void platform_thread::run() {
  for (;;) {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      if (Stopping)
        return;
    }
    bool Answered = followOnce();
    Reachable.store(Answered);
    FailuresInARow = Answered ? 0 : FailuresInARow + 1;
    if (!Answered)
      pause();
  }
}

bool platform_thread::followOnce() {
  listVms();
  Counters.get("platform_calls_total").add();
  // The first watch returns at once, with all objects there are.
  platform_changes_result Result = Platform.watch(Revision, WatchWait);
  auto *Changes = std::get_if<platform_changes>(&Result);
  if (!Changes) {
    Counters.get("platform_errors_total").add();
    return false;
  }
  Revision = std::max(Revision, Changes->Revision);
  configuration_push Push = toPush(*Changes);
  push(Push);
  if (Push.Records.empty())
    waitFor(QuietPause);
  return true;
}

void platform_thread::listVms() {
  Counters.get("platform_calls_total").add();
  platform_vms_result Result = Platform.listVms();
  if (auto *Vms = std::get_if<std::vector<platform_vm>>(&Result))
    push(vms_listed{toMembers(*Vms)});
}

void platform_thread::pause() {
  thread_local std::minstd_rand Random{std::random_device{}()};
  unsigned Doublings = std::min(FailuresInARow, MaxDoublings);
  auto Longest = std::min(LongestPause, FirstPause * (1U << Doublings));
  // A random share of the pause keeps the VMs from calling all at once when
  // the platform comes back.
  std::uniform_int_distribution<std::int64_t> Spread(Longest.count() / 2,
                                                     Longest.count());
  waitFor(std::chrono::milliseconds(Spread(Random)));
}

void platform_thread::waitFor(std::chrono::milliseconds Span) {
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
