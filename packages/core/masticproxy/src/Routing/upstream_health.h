#ifndef MASTICPROXY_ROUTING_UPSTREAM_HEALTH_H
#define MASTICPROXY_ROUTING_UPSTREAM_HEALTH_H

#include "masticproxy/src/Base/clock.h"

#include <limits>

namespace masticproxy {

/// \brief What this VM's own attempts have shown of one upstream.
class upstream_health {
public:
  /// Notes an upstream first seen at \p Now, which starts slowly.
  explicit upstream_health(time_point Now) : RampStart(Now) {}

  /// Notes a result that came after \p Latency.
  void answered(duration Latency, time_point Now);

  /// Notes an attempt that was given up after \p Age without a result.
  void abandoned(duration Age, time_point Now);

  /// Notes that the upstream refused an attempt while \p InFlight others of
  /// this VM were open there.
  void refused(unsigned InFlight, time_point Now);

  /// Notes that a connection failed.
  void failed(time_point Now);

  /// Notes that an attempt was out for so long that another upstream was asked,
  /// or that its query went on without it, while \p InFlight were open there.
  void slow(unsigned InFlight, time_point Now);

  /// Notes that the upstream drains: it gets nothing until \p Until.
  void draining(time_point Until);

  /// Notes that the upstream gets work again from \p Start on, little at first.
  void rampUpFrom(time_point Start) { RampStart = Start; }

  /// \returns whether the upstream has said that it is leaving.
  bool isDraining(time_point Now) const { return Now < DrainUntil; }

  /// \returns whether its connections have failed lately, or it was slow.
  bool isSuspect(time_point Now) const { return Now < SuspectUntil; }

  /// \returns whether it refused so shortly ago that asking again is of no
  /// use.
  bool isBackingOff(time_point Now) const;

  /// \returns whether a further attempt beside \p InFlight open ones keeps to
  /// what the upstream has taken without refusals.
  bool hasRoom(unsigned InFlight) const { return InFlight < Concurrency; }

  /// \returns whether it has refused work lately.
  bool isOverloaded(time_point Now) const;

  /// \returns the periods of suspicion since the last result.
  unsigned failures() const { return Failures; }

  /// \returns the mean latency; without new attempts it falls, so that a slow
  /// upstream is tried again. Zero when nothing is known.
  duration latency(time_point Now) const;

  /// \returns the share of its newest attempts that were refused, failed or
  /// were slow, in [0, 1]; it falls while none is sent.
  double failureScore(time_point Now) const;

  /// \returns the share of its usual work that it may get, in (0, 1]: small
  /// after a start or a return.
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
  /// Attempts open at a time; unbounded until the first refusal.
  double Concurrency = std::numeric_limits<double>::infinity();
};

} // namespace masticproxy

#endif
