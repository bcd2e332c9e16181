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

/// \brief Finds out that this VM is cut off from the upstreams of other data
/// centres: several of them are silent, probes of others too, and nothing was
/// heard from any of them meanwhile.
///
/// While nothing is heard some upstreams are probed, so that a cut and its end
/// are seen also without requests.
class partition_detector {
public:
  explicit partition_detector(const clock &Clock) : Clock(Clock) {}

  /// Replaces the upstreams of other data centres, by their addresses. With
  /// none of them no cut can be seen, so one that was seen ends.
  void follow(std::span<const std::string> Upstreams);

  /// Notes that something was sent to \p Upstream, if it is followed.
  void recordSent(std::string_view Upstream);

  /// Notes that \p Upstream answered anything at all, if it is followed.
  void recordResponse(std::string_view Upstream);

  /// Judges what was sent and heard up to now; does nothing where the last look
  /// was a moment ago.
  void evaluate();

  /// \returns whether the VM was cut off when last looked at.
  bool isPartitioned() const { return Partitioned; }

  /// \returns the upstreams to probe now; none while others are heard.
  std::vector<std::string> takeProbes();

  /// \returns when takeProbes() is due, if at all.
  std::optional<time_point> nextProbe() const;

private:
  bool isSuspected() const;
  void clearPartition();

  const clock &Clock;
  /// When each upstream without an answer was first asked after the last word
  /// from any.
  std::map<std::string, std::optional<time_point>, std::less<>> UnansweredSince;
  /// When any of the upstreams was heard last.
  time_point LastResponseAt{};
  time_point LastEvaluatedAt{};
  std::optional<time_point> SuspectedAt;
  bool Partitioned = false;
  time_point LastProbeAt{};
  /// Where the next round of probes goes on.
  std::string LastProbed;
};

} // namespace masticproxy

#endif
