#ifndef MASTICPROXY_BASE_TOKEN_BUCKET_H
#define MASTICPROXY_BASE_TOKEN_BUCKET_H

#include "masticproxy/src/Base/clock.h"

namespace masticproxy {

/// \brief Limits how often something is done, with room for a burst.
class token_bucket {
public:
  /// \p Interval goes by for each token; up to \p Burst are saved up.
  token_bucket(const clock &Clock, duration Interval, unsigned Burst);

  /// Takes a token. \returns false, with none taken, where none is left.
  bool take();

  /// \returns the time until take() can succeed; zero where it would now.
  duration untilNext() const;

private:
  const clock &Clock;
  duration Interval;
  duration MostSaved;
  /// The bucket is empty when this instant is now.
  time_point EmptyAt;
};

} // namespace masticproxy

#endif
