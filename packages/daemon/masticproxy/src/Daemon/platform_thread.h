#ifndef MASTICPROXY_DAEMON_PLATFORM_THREAD_H
#define MASTICPROXY_DAEMON_PLATFORM_THREAD_H

#include "masticproxy/src/Base/published.h"
#include "masticproxy/src/Daemon/daemon_rings.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <thread>

namespace masticproxy {

class counter_registry;
class platform_api;

/// \brief Follows the platform's objects and its list of VMs.
class platform_thread {
public:
  platform_thread(platform_api &Platform, std::chrono::milliseconds WatchWait,
                  counter_registry &Counters);
  ~platform_thread();

  /// Sets the ring that changes go to; before start().
  void connect(platform_event_ring &NewControl) { Control = &NewControl; }

  void start();
  void stop();

  /// \returns whether the last call was answered.
  bool reachable() const { return Reachable.load(); }

private:
  void run();
  bool followOnce();
  void listVms();
  void pause();
  void waitFor(std::chrono::milliseconds Span);
  void push(const platform_event &Event);

  platform_api &Platform;
  std::chrono::milliseconds WatchWait;
  counter_registry &Counters;
  platform_event_ring *Control = nullptr;
  std::atomic<bool> Reachable{false};
  std::uint64_t Revision = 0;
  unsigned FailuresInARow = 0;
  std::mutex Mutex;
  std::condition_variable Wake;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace masticproxy

#endif
