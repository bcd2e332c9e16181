#ifndef MASTICPROXY_DRAIN_DRAIN_NOTIFIER_H
#define MASTICPROXY_DRAIN_DRAIN_NOTIFIER_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Drain/drain_notice.h"
#include "masticproxy/src/Drain/drain_timing.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticproxy {

/// \brief Decides when one VM notifies the others of the upstreams that refused
/// its own attempts because they drain.
class drain_notifier {
public:
  explicit drain_notifier(drain_timing Timing) : Timing(Timing) {}

  /// Records that \p Upstream refused an attempt of this VM because it is
  /// draining.
  void refused(std::string_view Upstream, time_point Now);

  /// \returns the notices to be sent at \p Now, and schedules their repetition.
  /// Refusals older than the exclusion period are removed.
  std::vector<drain_notice> takeDue(time_point Now);

  /// \returns when the next notice is due, if any.
  std::optional<time_point> next() const;

private:
  struct record {
    time_point RefusedAt;
    time_point NextNotice;
  };

  drain_timing Timing;
  std::map<std::string, record, std::less<>> Refusals;
};

} // namespace masticproxy

#endif
