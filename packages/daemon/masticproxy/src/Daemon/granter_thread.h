#ifndef MASTICPROXY_DAEMON_GRANTER_THREAD_H
#define MASTICPROXY_DAEMON_GRANTER_THREAD_H

#include "masticproxy/src/Daemon/granter_place.h"
#include "masticproxy/src/Net/granter_storage.h"
#include "masticproxy/src/Quota/granter_lease.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace masticproxy {

class counter_registry;

/// \brief Follows and takes the granter's lease in the platform's store, one
/// call at a time.
class granter_thread {
public:
  /// \p Changed is called, on this thread, with each change of the granter and
  /// each renewal of a lease of this VM.
  granter_thread(granter_storage &Storage, const clock &BootClock,
                 granter_record Self, granter_lease_timing Timing,
                 unsigned Seed, counter_registry &Counters,
                 std::function<void(granter_place)> Changed);
  ~granter_thread();

  void start();

  /// Sets whether the present granter answers this VM; from any thread.
  void setGranterAnswers(bool Answers);

  /// Sets what the record of this VM's lease of \p Term is to say; from any
  /// thread.
  void setClaims(std::uint64_t Term, granter_claims Claims);

  /// Gives up the lease, if this VM holds it, and takes none any more.
  void leave();

  /// Waits until the call under way has ended.
  void stop();

private:
  void run();
  void step();
  void carryOut(const lease_wait &Action);
  void carryOut(const lease_read &Action);
  void carryOut(const lease_write &Action);
  /// Counts and logs a failed call.
  void onFailure(const platform_unavailable &Failure);
  void publish();
  void wake();

  granter_storage &Storage;
  const clock &Clock;
  counter_registry &Counters;
  granter_record Self;
  std::function<void(granter_place)> Changed;
  granter_place Last;
  bool Failing = false;

  std::mutex Mutex;
  std::condition_variable Wake;
  /// Guarded by the mutex but for calls to the store.
  granter_lease Lease;
  bool Woken = false;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace masticproxy

#endif
