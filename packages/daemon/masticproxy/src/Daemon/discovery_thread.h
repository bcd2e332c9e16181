#ifndef MASTICPROXY_DAEMON_DISCOVERY_THREAD_H
#define MASTICPROXY_DAEMON_DISCOVERY_THREAD_H

#include "masticproxy/src/Base/retry_backoff.h"
#include "masticproxy/src/Daemon/daemon_rings.h"
#include "masticproxy/src/Daemon/discovery_plan.h"
#include "masticproxy/src/Net/object_feed.h"
#include "masticproxy/src/Net/watch_check.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace masticproxy {

class counter_registry;
struct platform_freshness;

/// \brief Follows one kind of the platform's objects, and tells control what
/// they say.
class discovery_thread {
public:
  /// What the platform's heartbeat shows stands in \p Freshness.
  discovery_thread(discovery_plan Plan, const clock &Clock,
                   const platform_caller &Platform, const object_codec &Codec,
                   counter_registry &Counters,
                   const platform_freshness &Freshness,
                   discovery_ring &Control);
  ~discovery_thread();

  /// Lets \p NewLeader find the end of an outage: while it reaches the platform
  /// no more, this thread rarely asks. Whichever of the two is answered first
  /// lets the other ask at once, so that what they follow becomes current
  /// together. Before start() of both.
  void waitFor(discovery_thread &NewLeader);

  void start();

  /// Takes the end of the call under way for no loss of the platform.
  void beginStop();

  /// Waits until the call under way has ended.
  void stop();

  /// \returns whether the last call was answered.
  bool reachable() const { return Reachable.load(); }

private:
  void run();
  void step();
  void take(feed_news News);
  void onFailure(const platform_unavailable &Failure);
  void onSuccess();
  void tell(const discovery_event &Event);
  void noteNewEra();
  void pause(duration Span);
  /// Waits for \p Span, or until another thread reaches the platform.
  void pauseBeforeRetry(duration Span);
  /// Ends pauseBeforeRetry().
  void retryNow();
  /// \returns how long changes are gathered.
  duration gatherTime() const;
  bool stopping();

  discovery_plan Plan;
  const clock &Clock;
  watch_check Check;
  object_feed Feed;
  counter_registry &Counters;
  discovery_ring &Control;
  std::atomic<bool> Reachable{false};
  retry_backoff Backoff;
  /// When the platform was seen without any upstream, if it was.
  std::optional<time_point> StartedAt;
  std::mutex Mutex;
  std::condition_variable Wake;
  bool Stopping = false;
  bool RetryNow = false;
  /// A time at which the platform was out of reach, if no call was answered
  /// since.
  std::optional<time_point> FailedAt;
  /// Finds the end of an outage for this one, if not null.
  const discovery_thread *Leader = nullptr;
  /// Told when this one reaches the platform again.
  std::vector<discovery_thread *> Others;
  std::thread Thread;
};

} // namespace masticproxy

#endif
