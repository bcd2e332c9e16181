#ifndef MASTICPROXY_DRAIN_DRAIN_HEARSAY_H
#define MASTICPROXY_DRAIN_DRAIN_HEARSAY_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Drain/drain_notice.h"
#include "masticproxy/src/Drain/drain_timing.h"

#include <map>
#include <string>
#include <string_view>

namespace masticproxy {

/// \brief What other VMs have told this one of drains, and how far that is
/// believed. It is never told on.
class drain_hearsay {
public:
  explicit drain_hearsay(drain_timing Timing) : Timing(Timing) {}

  /// Takes in \p Notice, which may be late, doubled or out of order.
  void onNotice(const drain_notice &Notice, time_point Now);

  /// Notes that \p Upstream answered an attempt sent at \p SentAt.
  void answered(std::string_view Upstream, time_point SentAt);

  /// Notes that \p Upstream refused an attempt of this VM as it drains.
  void refused(std::string_view Upstream);

  /// \returns whether \p Upstream gets nothing because of what was told.
  bool keepsOut(std::string_view Upstream, time_point Now) const;

  /// \returns until when, which is past for an upstream that gets work.
  time_point until(std::string_view Upstream) const;

private:
  struct record {
    /// When this row of notices began.
    time_point Since;
    /// Last refusal that was told.
    time_point SeenAt{};
    /// When the last attempt that was answered in spite of it was sent.
    time_point GoodAt{};
    time_point Until{};
  };

  void forgetOld(time_point Now);

  drain_timing Timing;
  std::map<std::string, record, std::less<>> Told;
};

} // namespace masticproxy

#endif
