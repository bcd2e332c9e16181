#ifndef MASTICPROXY_POISON_COMMON_CAUSE_CHECK_H
#define MASTICPROXY_POISON_COMMON_CAUSE_CHECK_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Poison/death_evidence.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticproxy {

/// \brief Finds out whether an upstream's death has a cause that other
/// upstreams share, for example a network partition that resets connections:
/// probes a few others of its data centre.
class common_cause_check {
public:
  /// \brief What a check found.
  struct result {
    /// Whether the deaths since Since have a common cause.
    bool Found = false;
    time_point Since;
  };

  /// Number of upstreams that are probed.
  static constexpr std::size_t Probes = 3;

  explicit common_cause_check(const clock &Clock) : Clock(Clock) {}

  /// Starts a check that probes \p Upstreams, unless one is under way. \returns
  /// those to be probed.
  std::vector<std::string> start(std::vector<std::string> Upstreams);

  /// Records the result of a probe. \returns the result of the check if this
  /// was the last probe.
  std::optional<result> onProbed(std::string_view Upstream, bool Reached);

  /// \returns whether a check is under way.
  bool isUnderWay() const;

  /// \returns what deaths that become known now are evidence of.
  death_evidence evidence() const;

private:
  const clock &Clock;
  std::optional<time_point> StartedAt;
  /// When a common cause was found last.
  std::optional<time_point> FoundAt;
  /// Upstreams whose result is awaited.
  std::vector<std::string> Awaited;
  std::size_t Asked = 0;
  std::size_t Unreached = 0;
};

} // namespace masticproxy

#endif
