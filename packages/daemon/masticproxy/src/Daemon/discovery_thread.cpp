#include "masticproxy/src/Daemon/discovery_thread.h"

#include "masticproxy/src/Base/counter_registry.h"
#include "masticproxy/src/Daemon/daemon_log.h"
#include "masticproxy/src/Daemon/error_boundary.h"
#include "masticproxy/src/Daemon/failure_pause.h"
#include "masticproxy/src/Net/platform_caller.h"

#include <algorithm>

using namespace masticproxy;

namespace {

/// Short enough for what a call brings to be in force before the bounds hold
/// again, which is 4 s after an outage.
constexpr std::chrono::milliseconds LongestPause{2500};

/// Longest wait for the leader to reach the platform again.
constexpr std::chrono::milliseconds LongestFollowerPause{10000};

/// Pause after news, so that changes in quick succession come with one call. It
/// delays the news that an upstream is gone, which counts from its lapse.
constexpr std::chrono::milliseconds GatherTime{250};

/// The same while the upstreams start together with this VM: nothing can be
/// gone yet, and each of them would cost every VM a call.
constexpr std::chrono::milliseconds StartGatherTime{2000};

/// Time in which upstreams that start together with this VM register.
constexpr std::chrono::seconds StartTime{10};

/// Whether \p News are of a platform that knows no upstream yet.
bool knowsNoUpstream(const feed_news &News) {
  return std::any_of(News.Events.begin(), News.Events.end(),
                     [](const discovery_event &Event) {
                       auto *Listed = std::get_if<upstreams_listed>(&Event);
                       return Listed && Listed->Entries.empty();
                     });
}

} // namespace

discovery_thread::discovery_thread(discovery_plan NewPlan, const clock &Clock,
                                   const platform_caller &Platform,
                                   const object_codec &Codec,
                                   counter_registry &Counters,
                                   const platform_freshness &Freshness,
                                   discovery_ring &Control)
    : Plan(std::move(NewPlan)), Clock(Clock),
      Check(Clock, Freshness, checksFor(Plan.Within, Plan.CheckedWithin)),
      Feed(Platform, Codec, watchFreshness(Plan.Within), Plan.ListFreshness),
      Counters(Counters), Control(Control),
      Backoff(Plan.FirstPause, LongestPause) {
  Feed.checkWatches(Check);
}

discovery_thread::~discovery_thread() { stop(); }

void discovery_thread::waitFor(discovery_thread &NewLeader) {
  Leader = &NewLeader;
  Others.push_back(&NewLeader);
  NewLeader.Others.push_back(this);
}

void discovery_thread::start() {
  Thread = std::thread([this] { run(); });
}

void discovery_thread::beginStop() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
  }
  Wake.notify_all();
}

void discovery_thread::stop() {
  beginStop();
  if (Thread.joinable())
    Thread.join();
}

void discovery_thread::run() {
  while (!stopping())
    if (!runContained(Counters, Plan.Kind, [this] { step(); }))
      pause(LongestPause);
}

void discovery_thread::step() {
  if (Plan.Polled) {
    time_point Due = Check.due();
    if (Reachable.load() && Due > Clock.now())
      return pause(Due - Clock.now());
  }
  Counters.get("platform_calls_total", "kind=\"" + Plan.Kind + "\"").add();
  time_point Called = Clock.now();
  std::uint64_t Checked = Feed.checks();
  feed_result Result = Plan.Polled ? Feed.poll() : Feed.next(Plan.WatchWait);
  Counters.get("platform_checks_total", "kind=\"" + Plan.Kind + "\"")
      .add(static_cast<std::int64_t>(Feed.checks() - Checked));
  if (auto *Failure = std::get_if<platform_unavailable>(&Result)) {
    // A watch may have waited for long before the platform was lost.
    FailedAt = std::max(Called, Clock.now() - Plan.CallTimeout);
    return onFailure(*Failure);
  }
  onSuccess();
  Counters.spans("platform_known_age_seconds", "kind=\"" + Plan.Kind + "\"")
      .add(Clock.now() - Check.currentAsOf());
  take(std::get<feed_news>(std::move(Result)));
  FailedAt.reset();
}

void discovery_thread::onSuccess() {
  Backoff.onSuccess();
  if (Reachable.exchange(true))
    return;
  logInfo("event=platform_answers kind=" + Plan.Kind);
  for (discovery_thread *Other : Others)
    if (!Other->reachable())
      Other->retryNow();
}

void discovery_thread::take(feed_news News) {
  for (const std::string &Problem : News.Problems) {
    Counters.get("platform_objects_unreadable_total").add();
    logWarning("event=object_left_out object=\"" + Problem + "\"");
  }
  if (News.NewEra)
    noteNewEra();
  if (News.Events.empty())
    return;
  for (discovery_event &Event : News.Events) {
    if (auto *Listed = std::get_if<upstreams_listed>(&Event))
      Listed->OutOfReachAt = FailedAt;
    tell(Event);
  }
  if (knowsNoUpstream(News) && !StartedAt)
    StartedAt = Clock.now();
  // What a list brings is followed at once; the history may be short.
  if (!News.Listed)
    pause(gatherTime());
}

void discovery_thread::noteNewEra() {
  Counters.get("platform_eras_total", "kind=\"" + Plan.Kind + "\"").add();
  logWarning("event=platform_restored kind=" + Plan.Kind +
             " reason=\"the platform came back from a copy\"");
  // What is missing in it may have been written since the copy was made, and
  // has to be written again, as after an outage.
  if (!FailedAt)
    FailedAt = Clock.now();
  tell(platform_restored{});
}

void discovery_thread::tell(const discovery_event &Event) {
  while (!Control.push(Event) && !stopping())
    std::this_thread::yield();
}

duration discovery_thread::gatherTime() const {
  bool Starting = StartedAt && Clock.now() - *StartedAt < StartTime;
  return Starting ? StartGatherTime : GatherTime;
}

void discovery_thread::onFailure(const platform_unavailable &Failure) {
  if (stopping())
    return;
  Counters.get("platform_errors_total", "kind=\"" + Plan.Kind + "\"").add();
  // Bounded by the pauses between the calls.
  bool First = Reachable.exchange(false);
  logWarning("event=platform_" + std::string(First ? "lost" : "still_lost") +
             " kind=" + Plan.Kind + " reason=\"" + Failure.Reason + "\"");
  if (First && Plan.OnOutage)
    tell(*Plan.OnOutage);
  // A call that failed alone is no outage, and is made again soon.
  bool LeaderAsks = Leader && !Leader->reachable();
  pauseBeforeRetry(LeaderAsks ? LongestFollowerPause
                              : pauseAfterFailure(Backoff));
}

void discovery_thread::pause(duration Span) {
  std::unique_lock<std::mutex> Lock(Mutex);
  Wake.wait_for(Lock, Span, [this] { return Stopping; });
}

void discovery_thread::pauseBeforeRetry(duration Span) {
  std::unique_lock<std::mutex> Lock(Mutex);
  Wake.wait_for(Lock, Span, [this] { return Stopping || RetryNow; });
  RetryNow = false;
}

void discovery_thread::retryNow() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    RetryNow = true;
  }
  Wake.notify_all();
}

bool discovery_thread::stopping() {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Stopping;
}
