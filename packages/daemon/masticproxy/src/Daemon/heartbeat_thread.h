#ifndef MASTICPROXY_DAEMON_HEARTBEAT_THREAD_H
#define MASTICPROXY_DAEMON_HEARTBEAT_THREAD_H

#include "masticproxy/src/Net/heartbeat_schedule.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace masticproxy {

class counter_registry;
class heartbeat_storage;

/// \brief Reads and writes the platform's heartbeat, one call at a time.
class heartbeat_thread {
public:
  /// Makes no calls while \p Reachable says that the platform is out of reach.
  heartbeat_thread(heartbeat_storage &Storage, const clock &Clock,
                   counter_registry &Counters,
                   const heartbeat_schedule &Schedule,
                   std::function<bool()> Reachable);
  ~heartbeat_thread();

  void start();

  /// Makes no further call.
  void beginStop();

  /// Waits until the call under way has ended.
  void stop();

private:
  void run();
  void step();
  void carryOut(const heartbeat_wait &Action);
  void carryOut(const heartbeat_read &Action);
  void carryOut(const heartbeat_write &Action);
  /// Tells where copies begin or cease to be too old.
  void noteCopies();
  void pauseUntil(time_point Time);

  heartbeat_storage &Storage;
  const clock &Clock;
  counter_registry &Counters;
  heartbeat_schedule Schedule;
  std::function<bool()> Reachable;
  bool CopiesTooOld = false;
  std::mutex Mutex;
  std::condition_variable Wake;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace masticproxy

#endif
