#include "masticproxy/src/Daemon/granter_thread.h"

#include "masticproxy/src/Base/counter_registry.h"
#include "masticproxy/src/Daemon/daemon_log.h"
#include "masticproxy/src/Daemon/error_boundary.h"

#include <utility>

using namespace masticproxy;

namespace {

/// Pause after a step that ended with an exception.
constexpr std::chrono::milliseconds ErrorPause{1000};

} // namespace

granter_thread::granter_thread(granter_storage &Storage, const clock &BootClock,
                               granter_record Self, granter_lease_timing Timing,
                               unsigned Seed, counter_registry &Counters,
                               std::function<void(granter_place)> Changed)
    : Storage(Storage), Clock(BootClock), Counters(Counters), Self(Self),
      Changed(std::move(Changed)),
      Lease(BootClock, std::move(Self), Timing, Seed) {}

granter_thread::~granter_thread() { stop(); }

void granter_thread::start() {
  Thread = std::thread([this] { run(); });
}

void granter_thread::setGranterAnswers(bool Answers) {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Lease.setGranterAnswers(Answers);
  }
  wake();
}

void granter_thread::setClaims(std::uint64_t Term, granter_claims Claims) {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Lease.setClaims(Term, std::move(Claims));
  }
  wake();
}

void granter_thread::leave() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Lease.leave();
  }
  wake();
}

void granter_thread::stop() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
  }
  Wake.notify_all();
  if (Thread.joinable())
    Thread.join();
}

void granter_thread::wake() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Woken = true;
  }
  Wake.notify_all();
}

void granter_thread::run() {
  for (;;) {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      if (Stopping)
        return;
    }
    if (!runContained(Counters, "granter", [this] { step(); })) {
      std::unique_lock<std::mutex> Lock(Mutex);
      Wake.wait_for(Lock, ErrorPause, [this] { return Stopping; });
    }
  }
}

void granter_thread::step() {
  lease_action Action;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Action = Lease.next();
  }
  std::visit([this](const auto &A) { carryOut(A); }, Action);
  publish();
}

void granter_thread::carryOut(const lease_wait &Action) {
  std::unique_lock<std::mutex> Lock(Mutex);
  auto Ready = [this] { return Woken || Stopping; };
  if (Action.Until)
    Wake.wait_for(Lock, *Action.Until - Clock.now(), Ready);
  else
    Wake.wait(Lock, Ready);
  Woken = false;
}

void granter_thread::carryOut(const lease_read &Action) {
  Counters.get("platform_calls_total", "kind=\"granter\"").add();
  granter_storage_result Result = Storage.read(Action.Freshness);
  std::lock_guard<std::mutex> Lock(Mutex);
  if (auto *Failure = std::get_if<platform_unavailable>(&Result))
    return onFailure(*Failure);
  Failing = false;
  const auto &Found = std::get<granter_found>(Result);
  Lease.onRead(Found.Stored, Found.Era);
}

void granter_thread::carryOut(const lease_write &Action) {
  // Granting ends before the record says so.
  if (Action.Record.Left)
    publish();
  Counters.get("platform_calls_total", "kind=\"granter\"").add();
  granter_storage_result Result =
      Storage.write(Action.Record, Action.IfRevision);
  std::lock_guard<std::mutex> Lock(Mutex);
  if (auto *Failure = std::get_if<platform_unavailable>(&Result))
    return onFailure(*Failure);
  Failing = false;
  if (auto *Conflict = std::get_if<granter_conflict>(&Result))
    return Lease.onConflict(Conflict->Stored, Conflict->Era);
  const auto &Found = std::get<granter_found>(Result);
  Lease.onWritten(Found.Stored ? Found.Stored->Revision : 0, Found.Era);
}

void granter_thread::onFailure(const platform_unavailable &Failure) {
  Counters.get("platform_errors_total", "kind=\"granter\"").add();
  if (!std::exchange(Failing, true))
    logWarning("event=platform_lost kind=granter reason=\"" + Failure.Reason +
               "\"");
  Lease.onFailure();
}

void granter_thread::publish() {
  granter_place Place;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    const std::optional<granter_record> &Known = Lease.granter();
    std::optional<time_point> Until = Lease.grantsUntil();
    if (Known && !Known->Left)
      Place = {Known->Vm,
               Known->Address,
               Known->Term,
               Known->Vm == Self.Vm && Known->Incarnation == Self.Incarnation,
               Until.value_or(time_point{}),
               Known->Claims,
               Lease.predecessor()};
  }
  bool Same = Place.sameAs(Last);
  if (Same && Place.GrantsUntil == Last.GrantsUntil &&
      Place.Claims == Last.Claims)
    return;
  if (!Same) {
    logInfo("event=granter_changed vm=" +
            (Place.Vm.empty() ? std::string("-") : Place.Vm) +
            " term=" + std::to_string(Place.Term) +
            " own=" + (Place.Self ? "true" : "false"));
    Counters.get("granter_changes_total").add();
  }
  Last = Place;
  Changed(Place);
}
