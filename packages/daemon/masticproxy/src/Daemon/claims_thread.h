#ifndef MASTICPROXY_DAEMON_CLAIMS_THREAD_H
#define MASTICPROXY_DAEMON_CLAIMS_THREAD_H

#include "masticproxy/src/Claims/claimant.h"
#include "masticproxy/src/Daemon/daemon_rings.h"

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

namespace masticproxy {

class counter_registry;
class platform_api;

/// \brief Claims request ids at the platform, one call at a time.
class claims_thread {
public:
  /// \p Process names this VM and its start.
  claims_thread(platform_api &Platform, const clock &Clock, std::string Process,
                claim_timing Timing, counter_registry &Counters);
  ~claims_thread();

  /// Sets the ring that decisions go to; before start().
  void connect(claim_decision_ring &NewEngine) { Engine = &NewEngine; }

  claim_request_ring &requests() { return Requests; }

  void start();
  void stop();

private:
  void run();
  void step();
  void waitForWork();
  void carryOut(const create_claim &Operation);
  void carryOut(const remove_claim &Operation);
  void sweep();
  void report();

  platform_api &Platform;
  const clock &Clock;
  claim_timing Timing;
  counter_registry &Counters;
  claimant Claimant;
  claim_request_ring Requests;
  claim_decision_ring *Engine = nullptr;
  time_point NextSweep;
  std::mutex Mutex;
  std::condition_variable Wake;
  bool Woken = false;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace masticproxy

#endif
