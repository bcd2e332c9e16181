#ifndef MASTICPROXY_DRAIN_RECEIVED_DRAIN_NOTICES_H
#define MASTICPROXY_DRAIN_RECEIVED_DRAIN_NOTICES_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Drain/drain_notice.h"
#include "masticproxy/src/Drain/drain_timing.h"

#include <map>
#include <string>
#include <string_view>

namespace masticproxy {

/// \brief Upstreams that this VM excludes because other VMs reported them as
/// draining, and for how long. Received notices are never forwarded.
class received_drain_notices {
public:
  explicit received_drain_notices(drain_timing Timing) : Timing(Timing) {}

  /// Applies \p Notice, which may be delayed, duplicated or out of order.
  void onNotice(const drain_notice &Notice, time_point Now);

  /// Records that \p Upstream answered an attempt sent at \p SentAt. An answer
  /// to an attempt sent after the last reported refusal ends the exclusion.
  void answered(std::string_view Upstream, time_point SentAt);

  /// Records that \p Upstream refused an attempt of this VM because it is
  /// draining.
  void refused(std::string_view Upstream);

  /// \returns whether \p Upstream gets no work at \p Now because of notices.
  bool excludes(std::string_view Upstream, time_point Now) const;

  /// \returns the end of the exclusion of \p Upstream. It is in the past for an
  /// upstream that gets work.
  time_point excludedUntil(std::string_view Upstream) const;

private:
  struct record {
    /// When the first notice of this series was received.
    time_point SeriesStart;
    /// Time of the last refusal that was reported.
    time_point RefusedAt{};
    /// When the last attempt was sent that the upstream answered although a
    /// refusal had been reported.
    time_point LastAnsweredSentAt{};
    /// End of the exclusion.
    time_point Until{};
  };

  void evictExpired(time_point Now);

  drain_timing Timing;
  std::map<std::string, record, std::less<>> Records;
};

} // namespace masticproxy

#endif
