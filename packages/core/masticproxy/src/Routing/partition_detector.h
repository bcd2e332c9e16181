#ifndef MASTICPROXY_ROUTING_PARTITION_DETECTOR_H
#define MASTICPROXY_ROUTING_PARTITION_DETECTOR_H

#include "masticproxy/src/Base/clock.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace masticproxy {

/// \brief Detects that a network partition separates this VM from the upstreams
/// of other data centres: several of them do not respond, probes of others get
/// no response either, and no upstream has responded meanwhile.
///
/// While none responds some upstreams are probed, so that a partition and its
/// end are detected without requests too.
class partition_detector {
public:
  explicit partition_detector(const clock &Clock) : Clock(Clock) {}

  /// Replaces the upstreams of other data centres, given by their addresses.
  /// Without upstreams no partition can be detected, so a detected one ends.
  void follow(std::span<const std::string> Upstreams);

  /// Records that a sub-request or probe was sent to \p Upstream, if it is
  /// followed.
  void recordSent(std::string_view Upstream);

  /// Records a response of any kind from \p Upstream, if it is followed.
  void recordResponse(std::string_view Upstream);

  /// Evaluates what was sent and received up to now; does nothing shortly after
  /// the last evaluation.
  void evaluate();

  /// \returns whether the last evaluation found a partition.
  bool isPartitioned() const { return Partitioned; }

  /// \returns the upstreams to probe now, and records the probes as sent; none
  /// while upstreams respond.
  std::vector<std::string> takeProbes();

  /// \returns when takeProbes() is due, if at all.
  std::optional<time_point> nextProbe() const;

private:
  bool isSuspected() const;
  void clearPartition();

  const clock &Clock;
  /// For each upstream that has not responded: when it was first sent anything
  /// after the last response from any upstream.
  std::map<std::string, std::optional<time_point>, std::less<>> UnansweredSince;
  /// Time of the last response from any upstream.
  time_point LastResponseAt{};
  time_point LastEvaluatedAt{};
  std::optional<time_point> SuspectedAt;
  bool Partitioned = false;
  time_point LastProbeAt{};
  /// The next round of probes starts after this upstream.
  std::string LastProbed;
};

} // namespace masticproxy

#endif
