#ifndef MASTICPROXY_DRAIN_DRAIN_TELLER_H
#define MASTICPROXY_DRAIN_DRAIN_TELLER_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Drain/drain_notice.h"
#include "masticproxy/src/Drain/drain_timing.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticproxy {

/// \brief Decides when one VM tells the others of the drains that it met
/// itself.
class drain_teller {
public:
  explicit drain_teller(drain_timing Timing) : Timing(Timing) {}

  /// Notes that \p Upstream refused an attempt of this VM as it drains.
  void refused(std::string_view Upstream, time_point Now);

  /// \returns the notices to be sent at \p Now.
  std::vector<drain_notice> takeDue(time_point Now);

  /// \returns when the next notice is due, if any.
  std::optional<time_point> next() const;

private:
  struct record {
    time_point SeenAt;
    time_point NextNotice;
  };

  drain_timing Timing;
  std::map<std::string, record, std::less<>> Seen;
};

} // namespace masticproxy

#endif
