#ifndef MASTICPROXY_DISCOVERY_READ_FRESHNESS_H
#define MASTICPROXY_DISCOVERY_READ_FRESHNESS_H

#include "masticproxy/src/Base/clock.h"

namespace masticproxy {

/// \brief How new the platform's answer to a read has to be.
enum class read_freshness {
  /// All that was acknowledged before.
  Newest,
  /// It may come from a copy of any age, which costs less.
  MayLag,
};

/// \returns how changes may be watched that have to be in force \p Within that
/// time of their acknowledgement.
read_freshness watchFreshness(duration Within);

} // namespace masticproxy

#endif
