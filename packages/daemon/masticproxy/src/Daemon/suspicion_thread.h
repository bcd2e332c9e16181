#ifndef MASTICPROXY_DAEMON_SUSPICION_THREAD_H
#define MASTICPROXY_DAEMON_SUSPICION_THREAD_H

#include "masticproxy/src/Base/retry_backoff.h"
#include "masticproxy/src/Daemon/daemon_rings.h"
#include "masticproxy/src/Net/platform_api.h"
#include "masticproxy/src/Poison/notice_publisher.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace masticproxy {

class counter_registry;
class object_writer;

/// \brief Writes to the platform's store which queries crash upstreams, one
/// call at a time.
class suspicion_thread {
public:
  suspicion_thread(object_writer &Writer, const clock &Clock,
                   counter_registry &Counters);
  ~suspicion_thread();

  suspicion_ring &suspicions() { return Suspicions; }

  void start();

  /// Waits until the call under way has ended.
  void stop();

private:
  void run();
  void step();
  void takeSuspicions();
  void carryOut(const notice_write &Write);
  platform_write_result call(const publish_notice &Write);
  platform_write_result call(const withdraw_notice &Write);
  void onConflict(const notice_write &Write, const platform_conflict &Conflict);
  void pause(duration Span);
  void waitForWork();

  object_writer &Writer;
  const clock &Clock;
  counter_registry &Counters;
  notice_publisher Publisher;
  retry_backoff Backoff;
  suspicion_ring Suspicions;
  std::mutex Mutex;
  std::condition_variable Wake;
  bool Woken = false;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace masticproxy

#endif
