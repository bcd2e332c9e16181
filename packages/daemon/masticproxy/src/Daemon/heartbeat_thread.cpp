#include "masticproxy/src/Daemon/heartbeat_thread.h"

#include "masticproxy/src/Base/counter_registry.h"
#include "masticproxy/src/Daemon/daemon_log.h"
#include "masticproxy/src/Daemon/error_boundary.h"
#include "masticproxy/src/Net/heartbeat_storage.h"

using namespace masticproxy;

namespace {

/// Pause before it is asked again whether the platform is within reach.
constexpr std::chrono::milliseconds ReachPause{250};

/// Pause after an error of this program.
constexpr std::chrono::milliseconds ErrorPause{2500};

} // namespace

heartbeat_thread::heartbeat_thread(heartbeat_storage &Storage,
                                   const clock &Clock,
                                   counter_registry &Counters,
                                   const heartbeat_schedule &Schedule,
                                   std::function<bool()> Reachable)
    : Storage(Storage), Clock(Clock), Counters(Counters), Schedule(Schedule),
      Reachable(std::move(Reachable)) {}

heartbeat_thread::~heartbeat_thread() { stop(); }

void heartbeat_thread::start() {
  Thread = std::thread([this] { run(); });
}

void heartbeat_thread::beginStop() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
  }
  Wake.notify_all();
}

void heartbeat_thread::stop() {
  beginStop();
  if (Thread.joinable())
    Thread.join();
}

void heartbeat_thread::run() {
  for (;;) {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      if (Stopping)
        return;
    }
    if (!runContained(Counters, "heartbeat", [this] { step(); }))
      pauseUntil(Clock.now() + ErrorPause);
  }
}

void heartbeat_thread::step() {
  if (!Reachable())
    return pauseUntil(Clock.now() + ReachPause);
  std::visit([this](const auto &Action) { carryOut(Action); }, Schedule.next());
}

void heartbeat_thread::carryOut(const heartbeat_wait &Action) {
  pauseUntil(Action.Until);
}

void heartbeat_thread::carryOut(const heartbeat_read &Action) {
  bool FromCopy = Action.Source == read_freshness::MayLag;
  Counters
      .get("platform_heartbeat_reads_total",
           FromCopy ? "source=\"copy\"" : "source=\"platform\"")
      .add();
  heartbeat_read_result Result = Storage.read(Action.Source, Clock.now());
  auto *Reading = std::get_if<heartbeat_reading>(&Result);
  if (!Reading)
    return Schedule.onFailure();
  Schedule.onRead(*Reading);
  // A read of the platform itself says nothing of copies.
  if (!FromCopy)
    return;
  Counters.spans("platform_known_age_seconds", "kind=\"heartbeat\"")
      .add(Clock.now() - Schedule.currentAsOf());
  noteCopies();
}

void heartbeat_thread::carryOut(const heartbeat_write &Action) {
  Counters.get("platform_heartbeat_writes_total").add();
  time_point SentAt = Clock.now();
  heartbeat_write_result Result =
      Storage.write(Action.Heartbeat, Action.IfRevision);
  if (auto *Written = std::get_if<heartbeat_written>(&Result))
    return Schedule.onWritten(Written->Revision, SentAt);
  if (std::holds_alternative<heartbeat_conflict>(Result))
    return Schedule.onConflict();
  Schedule.onFailure();
}

void heartbeat_thread::noteCopies() {
  if (CopiesTooOld == Schedule.copiesTooOld())
    return;
  CopiesTooOld = Schedule.copiesTooOld();
  if (CopiesTooOld)
    logWarning("event=platform_copies_too_old reason=\"a copy is older than "
               "allowed, or shows no age\"");
  else
    logInfo("event=platform_copies_in_use");
}

void heartbeat_thread::pauseUntil(time_point Time) {
  std::unique_lock<std::mutex> Lock(Mutex);
  Wake.wait_until(Lock, Time, [this] { return Stopping; });
}
