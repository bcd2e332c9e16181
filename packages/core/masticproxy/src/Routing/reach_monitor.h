#ifndef MASTICPROXY_ROUTING_REACH_MONITOR_H
#define MASTICPROXY_ROUTING_REACH_MONITOR_H

#include "masticproxy/src/Base/clock.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticproxy {

/// \brief Decides whether this VM is cut off from the upstreams of the other
/// data centres, by the silence of nearly all of them together.
///
/// While it is, some of them are probed, so that it finds the end of the cut
/// also without requests.
class reach_monitor {
public:
  explicit reach_monitor(const clock &Clock) : Clock(Clock) {}

  /// Notes that something was sent to an upstream of another data centre.
  void sent(std::string_view Upstream);

  /// Notes that an upstream answered anything at all.
  void heard(std::string_view Upstream);

  /// Compares what was sent with what was heard; does nothing where the last
  /// look was a moment ago.
  void look();

  /// \returns whether nearly all upstreams asked lately were silent when last
  /// looked at.
  bool cutOff() const { return Cut; }

  /// \returns the upstreams to probe now; none while the VM is not cut off.
  std::vector<std::string> takeProbes();

  /// \returns when takeProbes() is due, if at all.
  std::optional<time_point> nextProbe() const;

private:
  struct upstream_state {
    /// When it was first asked without an answer since.
    std::optional<time_point> AskedAt;
    time_point HeardAt{};
  };

  bool isSilent(const upstream_state &State) const;
  bool isKnown(const upstream_state &State) const;

  const clock &Clock;
  std::map<std::string, upstream_state, std::less<>> Upstreams;
  time_point LookedAt{};
  bool Cut = false;
  time_point ProbedAt{};
  /// Where the next round of probes goes on.
  std::string LastProbed;
};

} // namespace masticproxy

#endif
