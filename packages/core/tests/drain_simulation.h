#ifndef MASTICPROXY_TESTS_DRAIN_SIMULATION_H
#define MASTICPROXY_TESTS_DRAIN_SIMULATION_H

#include "manual_clock.h"
#include "masticproxy/Query"

#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace masticproxy {

/// Faults that can be injected into the simulated VMs.
enum class injected_drain_fault {
  None,
  /// No notice is delivered, so that each VM acts by itself.
  NoNotices,
  /// Notices are received with an age of 0.
  NoAge,
  /// A VM forwards received notices as if its own attempt had been refused.
  ForwardsNotices,
  /// Each notice is sent only once.
  NoRepetition,
};

/// \brief Simulates the VMs of a data centre, one shard with three replicas,
/// and one upstream that drains and returns. Notices are lost, duplicated and
/// reordered.
class drain_simulation {
public:
  drain_simulation(injected_drain_fault Fault, unsigned Seed);

  /// Runs until each VM should send the upstream work again.
  void run();

  /// Attempts that the draining upstream refused.
  unsigned Refusals = 0;
  /// Attempts sent to it although each VM should have been notified of a
  /// refusal.
  unsigned LateAttempts = 0;
  /// VMs that still excluded it when the exclusion should have ended.
  unsigned StillExcluded = 0;
  /// Number of times that no replica of the shard could be chosen.
  unsigned WithoutReplica = 0;

private:
  struct vm {
    std::unique_ptr<upstream_table> Table;
    /// The VM has work in one of this many steps on average.
    unsigned StepsPerAttempt = 1;
    time_point WorkFrom;
    time_point ForwardedAt{};
    /// When the last of its attempts was sent that the draining upstream
    /// answered.
    time_point LastAnsweredSentAt{};
  };
  struct attempt {
    std::size_t Vm = 0;
    std::string Upstream;
    time_point SentAt;
    time_point EndsAt;
  };
  struct delivery {
    std::size_t Vm = 0;
    drain_notice Notice;
    time_point At;
  };

  bool isDraining() const;
  unsigned draw(unsigned Below) { return Random() % Below; }
  void step();
  void sendAttempt(std::size_t Vm);
  void endAttempt(const attempt &Attempt);
  void endDueAttempts();
  void sendNotice(std::size_t Sender, const drain_notice &Notice);
  void deliver();
  void checkExclusionEnded();

  const injected_drain_fault Fault;
  std::mt19937 Random;
  manual_clock Clock;
  time_point DrainFrom;
  time_point DrainTo;
  std::vector<replica> Replicas;
  std::vector<vm> Vms;
  std::vector<std::vector<unsigned>> ConsecutiveLosses;
  std::vector<attempt> Open;
  std::vector<delivery> NoticesInFlight;
  std::deque<time_point> RefusedAt;
};

} // namespace masticproxy

#endif
