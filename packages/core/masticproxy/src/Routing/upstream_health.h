#ifndef MASTICPROXY_ROUTING_UPSTREAM_HEALTH_H
#define MASTICPROXY_ROUTING_UPSTREAM_HEALTH_H

#include "masticproxy/src/Base/clock.h"

#include <limits>

namespace masticproxy {

/// \brief Health of one upstream, from how this VM's own attempts ended.
class upstream_health {
public:
  /// Constructs the state of an upstream first listed at \p Now, which is
  /// ramped up from then on.
  explicit upstream_health(time_point Now) : RampStart(Now) {}

  /// Records a result that arrived after \p Latency.
  void answered(duration Latency, time_point Now);

  /// Records an attempt that was abandoned after \p Age without a result.
  void abandoned(duration Age, time_point Now);

  /// Records that the upstream refused an attempt while \p InFlight others of
  /// this VM were open there.
  void refused(unsigned InFlight, time_point Now);

  /// Records that an attempt failed: at its connection, or because the upstream
  /// ran it without an answer.
  void failed(time_point Now);

  /// Records an attempt that was still open after the hedge delay and is no
  /// longer needed, while \p InFlight attempts of this VM, including it, were
  /// open there.
  void slow(unsigned InFlight, time_point Now);

  /// Records that the upstream is draining: it gets no work until \p Until.
  void draining(time_point Until);

  /// Lets the upstream's work ramp up from \p Start on.
  void rampUpFrom(time_point Start) { RampStart = Start; }

  /// \returns whether the upstream is excluded because it is draining.
  bool isDraining(time_point Now) const { return Now < DrainUntil; }

  /// \returns whether it is suspect, because attempts there have failed lately
  /// or were slow.
  bool isSuspect(time_point Now) const { return Now < SuspectUntil; }

  /// \returns whether it refused so recently that a further attempt is likely
  /// to be refused too.
  bool isBackingOff(time_point Now) const;

  /// \returns whether \p InFlight open attempts are below the present limit of
  /// attempts open at a time.
  bool hasRoom(unsigned InFlight) const { return InFlight < Concurrency; }

  /// \returns whether it has refused work lately.
  bool isOverloaded(time_point Now) const;

  /// \returns the step of the suspicion time: it grows with each period of
  /// suspicion since the last answer, to at most 6 (4 after a slow attempt).
  unsigned failures() const { return Failures; }

  /// \returns the mean latency, or zero when none is known. Without new
  /// attempts it decays, so that a slow upstream is tried again.
  duration latency(time_point Now) const;

  /// \returns the weighted share of its latest attempts that were refused,
  /// failed or were slow, in [0, 1]; it decays while no attempt ends.
  double failureScore(time_point Now) const;

  /// \returns the share of its usual work that it may get, in (0, 1]; small
  /// after it is first listed and after a drain or failed attempts, but not
  /// after slow ones.
  double readiness(time_point Now) const;

private:
  void addLatency(duration Latency, time_point Now);
  void updateFailureScore(double Attempt, time_point Now);
  void reduceConcurrency(unsigned InFlight);

  duration Latency{0};
  time_point LatencyAt{};
  time_point RampStart;
  time_point RefusedAt{};
  time_point SuspectUntil{};
  time_point DrainUntil{};
  unsigned Failures = 0;
  double FailureScore = 0;
  time_point FailureScoreAt{};
  /// Limit of attempts open at a time; unbounded until the first refusal or
  /// slow attempt.
  double Concurrency = std::numeric_limits<double>::infinity();
};

} // namespace masticproxy

#endif
