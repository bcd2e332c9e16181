#ifndef MASTICPROXY_BASE_RETRY_BACKOFF_H
#define MASTICPROXY_BASE_RETRY_BACKOFF_H

#include "masticproxy/src/Base/clock.h"

namespace masticproxy {

/// \brief Pauses between failed tries: doubling, bounded, and spread so that
/// many callers don't come back together.
class retry_backoff {
public:
  retry_backoff(duration First, duration Longest)
      : First(First), Longest(Longest) {}

  /// Notes a failure. \p Random is uniform in [0, 1). \returns the pause
  /// before the next try.
  duration onFailure(double Random);

  /// Notes a success.
  void onSuccess() { Failures = 0; }

private:
  duration First;
  duration Longest;
  unsigned Failures = 0;
};

} // namespace masticproxy

#endif
