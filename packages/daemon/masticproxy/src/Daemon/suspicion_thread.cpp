#include "masticproxy/src/Daemon/suspicion_thread.h"

#include "masticproxy/src/Base/counter_registry.h"
#include "masticproxy/src/Daemon/daemon_log.h"
#include "masticproxy/src/Daemon/error_boundary.h"
#include "masticproxy/src/Daemon/failure_pause.h"
#include "masticproxy/src/Net/object_writer.h"
#include "masticproxy/src/Platform/suspicion_codec.h"

#include <exception>
#include <optional>

using namespace masticproxy;

namespace {

constexpr std::chrono::milliseconds FirstPause{100};
constexpr std::chrono::milliseconds LongestPause{2500};

/// Pause between two writes, as the rate of the store is all VMs' together.
constexpr std::chrono::milliseconds WritePause{500};

} // namespace

suspicion_thread::suspicion_thread(object_writer &Writer, const clock &Clock,
                                   counter_registry &Counters)
    : Writer(Writer), Clock(Clock), Counters(Counters), Publisher(Clock),
      Backoff(FirstPause, LongestPause),
      Suspicions(ControlRingCapacity, [this] {
        {
          std::lock_guard<std::mutex> Lock(Mutex);
          Woken = true;
        }
        Wake.notify_all();
      }) {}

suspicion_thread::~suspicion_thread() { stop(); }

void suspicion_thread::start() {
  Thread = std::thread([this] { run(); });
}

void suspicion_thread::stop() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
  }
  Wake.notify_all();
  if (Thread.joinable())
    Thread.join();
}

void suspicion_thread::run() {
  for (;;) {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      if (Stopping)
        return;
    }
    if (!runContained(Counters, "suspicions", [this] { step(); }))
      pause(LongestPause);
  }
}

void suspicion_thread::step() {
  takeSuspicions();
  if (std::optional<notice_write> Write = Publisher.next())
    carryOut(*Write);
  else
    waitForWork();
}

void suspicion_thread::takeSuspicions() {
  Suspicions.drain([this](suspicion_news News) {
    if (auto *Notice = std::get_if<poison_notice>(&News))
      Publisher.onNotice(*Notice);
    else if (auto *Ended = std::get_if<suspicion_ended>(&News))
      Publisher.onEnded(*Ended);
    else
      Publisher.onRestored();
  });
}

void suspicion_thread::carryOut(const notice_write &Write) {
  Counters.get("platform_calls_total", "kind=\"suspicions\"").add();
  platform_write_result Result =
      std::visit([this](const auto &W) { return call(W); }, Write);
  if (auto *Failure = std::get_if<platform_unavailable>(&Result)) {
    Counters.get("platform_errors_total", "kind=\"suspicions\"").add();
    logWarning("event=suspicion_not_written reason=\"" + Failure->Reason +
               "\"");
    return pause(pauseAfterFailure(Backoff));
  }
  Backoff.onSuccess();
  if (auto *Conflict = std::get_if<platform_conflict>(&Result))
    onConflict(Write, *Conflict);
  else
    Publisher.written(Write, std::get<platform_object>(Result).Version);
  pause(WritePause);
}

platform_write_result suspicion_thread::call(const publish_notice &Write) {
  return Writer.put(platform::suspicionName(Write.Notice.Fingerprint),
                    Write.Version,
                    platform::suspicionText(Write.Notice, Clock));
}

platform_write_result suspicion_thread::call(const withdraw_notice &Write) {
  return Writer.remove(platform::suspicionName(Write.Fingerprint),
                       Write.Version);
}

void suspicion_thread::onConflict(const notice_write &Write,
                                  const platform_conflict &Conflict) {
  if (!Conflict.Current)
    return Publisher.conflicted(Write, std::nullopt, 0);
  std::optional<poison_notice> Current;
  try {
    Current = platform::readSuspicion(*Conflict.Current, Clock);
  } catch (const std::exception &Error) {
    // What can't be read is written over.
    logWarning("event=object_left_out object=\"" + Conflict.Current->Name +
               ": " + Error.what() + "\"");
  }
  Publisher.conflicted(Write, Current, Conflict.Current->Version);
}

void suspicion_thread::pause(duration Span) {
  std::unique_lock<std::mutex> Lock(Mutex);
  Wake.wait_for(Lock, Span, [this] { return Stopping; });
}

void suspicion_thread::waitForWork() {
  std::optional<time_point> Next = Publisher.nextWakeup();
  std::unique_lock<std::mutex> Lock(Mutex);
  auto Ready = [this] { return Woken || Stopping; };
  if (Next)
    Wake.wait_until(Lock, *Next, Ready);
  else
    Wake.wait(Lock, Ready);
  Woken = false;
}
