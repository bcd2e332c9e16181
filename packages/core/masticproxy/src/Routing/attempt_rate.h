#ifndef MASTICPROXY_ROUTING_ATTEMPT_RATE_H
#define MASTICPROXY_ROUTING_ATTEMPT_RATE_H

#include "masticproxy/src/Base/clock.h"

namespace masticproxy {

/// \brief The rate at which attempts or requests start, over the last few
/// seconds.
class attempt_rate {
public:
  /// Records that an attempt starts at \p Now.
  void add(time_point Now);

  /// \returns the attempts a second, as of \p Now.
  double perSecond(time_point Now) const;

private:
  /// Attempts, each weighted by its age at UpdatedAt.
  double Weighted = 0;
  time_point UpdatedAt{};
};

} // namespace masticproxy

#endif
