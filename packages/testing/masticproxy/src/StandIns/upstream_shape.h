#ifndef MASTICPROXY_STANDINS_UPSTREAM_SHAPE_H
#define MASTICPROXY_STANDINS_UPSTREAM_SHAPE_H

#include <chrono>
#include <cstddef>
#include <set>
#include <string>

namespace masticproxy {

/// \brief Size and faults of one stand-in upstream.
struct upstream_shape {
  unsigned Slots = 3;
  std::size_t Connections = 65;
  /// Time that a new connection takes.
  std::chrono::milliseconds SetupDelay{6};
  /// Mean of the exponentially distributed service time.
  std::chrono::microseconds ServiceTime{5000};
  /// Requests that wait for a slot; one more is refused.
  std::size_t Queue = 16;
  /// Share of requests that take StragglerFactor times longer.
  double StragglerShare = 0;
  double StragglerFactor = 20;
  /// Snapshots held; empty: any.
  std::set<std::string> Snapshots;
  /// Snapshot that results are taken from while they name the one that was
  /// asked for; empty: the one that was asked for.
  std::string ResultsOf;
  bool Draining = false;
  bool Down = false;
  /// Time after a start in which service takes ColdFactor times longer.
  std::chrono::milliseconds ColdTime{0};
  double ColdFactor = 5;
  /// Time from a death to the restart.
  std::chrono::milliseconds RestartDelay{2000};
  /// Hits in each answer.
  unsigned Hits = 3;
};

/// Text in a request's body that makes the upstream die while it runs it.
inline constexpr const char *PoisonMark = "poison";

} // namespace masticproxy

#endif
