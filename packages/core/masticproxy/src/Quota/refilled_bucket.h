#ifndef MASTICPROXY_QUOTA_REFILLED_BUCKET_H
#define MASTICPROXY_QUOTA_REFILLED_BUCKET_H

#include "masticproxy/src/Base/clock.h"

namespace masticproxy {

/// \brief A token bucket whose rate and capacity may change at any time.
class refilled_bucket {
public:
  /// Starts with \p Tokens at \p Now.
  refilled_bucket(double Tokens, time_point Now) : Tokens(Tokens), At(Now) {}

  /// Adds what \p PerSecond gave since the last call, up to \p Capacity.
  void refill(double PerSecond, double Capacity, time_point Now);

  /// Takes up to \p Wanted whole tokens. \returns how many.
  unsigned take(unsigned Wanted);

  /// \returns the time until a whole token is there at \p PerSecond; the
  /// longest duration that is reckoned with if that is never.
  duration untilNext(double PerSecond) const;

private:
  double Tokens;
  time_point At;
};

} // namespace masticproxy

#endif
