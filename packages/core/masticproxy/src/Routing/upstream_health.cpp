#include "masticproxy/src/Routing/upstream_health.h"

#include <algorithm>
#include <cmath>

using namespace masticproxy;

namespace {

/// Weight of a new attempt in the failure score.
constexpr double FailureScoreWeight = 0.4;

/// Time without attempts in which the failure score halves, so that an upstream
/// is tried again.
constexpr std::chrono::duration<double> FailureScoreHalfLife{6.0};

/// Weight of a new latency in the mean.
constexpr double LatencyWeight = 0.1;

/// A latency counts as at most this multiple of the mean, so that a single
/// straggler does not divert work from the upstream.
constexpr double LatencyClip = 4.0;

/// Time without attempts in which the mean latency halves.
constexpr std::chrono::duration<double> LatencyHalfLife{1.0};

/// Time for which an upstream gets no new work after a refusal.
constexpr std::chrono::milliseconds RefusalBackoff{20};

/// Share of the concurrency that is kept after a refusal.
constexpr double ConcurrencyDecreaseFactor = 0.8;

/// Time for which a refusal counts as a sign of overload.
constexpr std::chrono::milliseconds OverloadPeriod{500};

/// Time for which the first failure makes an upstream suspect; it doubles with
/// each further one.
constexpr std::chrono::milliseconds InitialSuspicion{250};

/// Step of the suspicion time beyond which failed attempts do not raise it.
constexpr unsigned MaxSuspicionSteps = 6;

/// Step of the suspicion time beyond which slow attempts do not raise it.
constexpr unsigned MaxSlownessSteps = 4;

/// Time until an upstream gets its usual work, from its first listing or from
/// the end of a drain or of a suspicion by a failed attempt.
constexpr std::chrono::duration<double> RampTime{5.0};

/// Share of its usual work that an upstream gets at the start of that time.
constexpr double MinReadiness = 0.1;

bool within(time_point Since, duration Span, time_point Now) {
  return Since != time_point{} && Now < Since + Span;
}

} // namespace

void upstream_health::answered(duration NewLatency, time_point Now) {
  addLatency(NewLatency, Now);
  updateFailureScore(0, Now);
  Failures = 0;
  Concurrency += 1.0 / Concurrency;
}

void upstream_health::abandoned(duration Age, time_point Now) {
  // The true latency is longer than the age, so the age is informative only if
  // it is above the mean.
  if (Age > Latency)
    addLatency(Age, Now);
}

void upstream_health::refused(unsigned InFlight, time_point Now) {
  updateFailureScore(1, Now);
  // Refusals that arrive together count as one: their attempts were sent before
  // the first refusal was known.
  bool Known = isBackingOff(Now);
  RefusedAt = Now;
  if (Known)
    return;
  reduceConcurrency(InFlight);
}

void upstream_health::reduceConcurrency(unsigned InFlight) {
  double Accepted = std::min(Concurrency, static_cast<double>(InFlight));
  Concurrency = std::max(1.0, Accepted * ConcurrencyDecreaseFactor);
}

void upstream_health::failed(time_point Now) {
  updateFailureScore(1, Now);
  // Attempts that were open at the same time fail together and count as one.
  if (isSuspect(Now))
    return;
  Failures = std::min(Failures + 1, MaxSuspicionSteps);
  SuspectUntil = Now + InitialSuspicion * (1U << (Failures - 1));
  RampStart = SuspectUntil;
}

void upstream_health::slow(unsigned InFlight, time_point Now) {
  updateFailureScore(1, Now);
  if (isSuspect(Now))
    return;
  // More attempts at a time would only wait longer at a slow upstream.
  reduceConcurrency(InFlight);
  Failures = std::min(Failures + 1, MaxSlownessSteps);
  // A slow upstream still serves, so it gets its usual work again without a
  // ramp.
  SuspectUntil = Now + InitialSuspicion * (1U << (Failures - 1));
}

void upstream_health::draining(time_point Until) {
  DrainUntil = Until;
  RampStart = Until;
}

bool upstream_health::isBackingOff(time_point Now) const {
  return within(RefusedAt, RefusalBackoff, Now);
}

bool upstream_health::isOverloaded(time_point Now) const {
  return within(RefusedAt, OverloadPeriod, Now);
}

duration upstream_health::latency(time_point Now) const {
  std::chrono::duration<double> Idle = Now - LatencyAt;
  double Factor = std::exp2(-(Idle / LatencyHalfLife));
  return std::chrono::duration_cast<duration>(Latency * Factor);
}

double upstream_health::failureScore(time_point Now) const {
  std::chrono::duration<double> Idle = Now - FailureScoreAt;
  return FailureScore * std::exp2(-(Idle / FailureScoreHalfLife));
}

double upstream_health::readiness(time_point Now) const {
  std::chrono::duration<double> Age = Now - RampStart;
  return std::clamp(Age / RampTime, MinReadiness, 1.0);
}

void upstream_health::updateFailureScore(double Attempt, time_point Now) {
  double Past = failureScore(Now);
  FailureScoreAt = Now;
  FailureScore = Past + (Attempt - Past) * FailureScoreWeight;
}

void upstream_health::addLatency(duration NewLatency, time_point Now) {
  LatencyAt = Now;
  if (Latency == duration{0}) {
    Latency = NewLatency;
    return;
  }
  auto Limit = std::chrono::duration_cast<duration>(Latency * LatencyClip);
  duration Clipped = std::min(NewLatency, Limit);
  Latency +=
      std::chrono::duration_cast<duration>((Clipped - Latency) * LatencyWeight);
}
