#ifndef MASTICPROXY_DAEMON_PLATFORM_THREAD_H
#define MASTICPROXY_DAEMON_PLATFORM_THREAD_H

#include "masticproxy/src/Base/retry_backoff.h"
#include "masticproxy/src/Base/token_bucket.h"
#include "masticproxy/src/Cluster/platform_follower.h"
#include "masticproxy/src/Daemon/daemon_rings.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <thread>

namespace masticproxy {

class counter_registry;
class platform_api;

/// \brief Follows the platform's objects and its list of VMs while this VM is
/// chosen to; otherwise only reads the list, now and then.
class platform_thread {
public:
  platform_thread(platform_api &Platform, const clock &Clock,
                  std::chrono::milliseconds WatchWait,
                  counter_registry &Counters);
  ~platform_thread();

  /// Sets the ring that changes go to; before start().
  void connect(platform_event_ring &NewControl) { Control = &NewControl; }

  void start();
  void stop();

  /// Starts or ends to watch; \p Revision is what is known from elsewhere.
  void follow(bool Watch, std::uint64_t Revision);

  /// \returns whether the last call was answered.
  bool reachable() const { return Reachable.load(); }

private:
  void run();
  /// Follows the configuration, or else lists the VMs.
  void step(bool Watch);
  /// Waits until there is something to do. \returns whether to watch, or
  /// nothing at the end.
  std::optional<bool> waitForDuty();
  void follow();
  bool followOnce();
  void listVms(duration Interval);
  bool spendCall();
  void pause(duration Span);
  void push(const platform_event &Event);

  platform_api &Platform;
  std::chrono::milliseconds WatchWait;
  counter_registry &Counters;
  platform_event_ring *Control = nullptr;
  std::atomic<bool> Reachable{false};
  platform_follower Follower;
  token_bucket Budget;
  retry_backoff Backoff;
  const clock &Clock;
  time_point NextListing{};
  /// Whether the last reading of the list was answered.
  bool Listed = false;
  std::mutex Mutex;
  std::condition_variable Wake;
  bool Stopping = false;
  bool Watching = false;
  std::uint64_t KnownRevision = 0;
  std::thread Thread;
};

} // namespace masticproxy

#endif
