#ifndef MASTICPROXY_DISCOVERY_CHECK_PLAN_H
#define MASTICPROXY_DISCOVERY_CHECK_PLAN_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Discovery/read_freshness.h"

namespace masticproxy {

/// \brief How it is checked that a watch has told all changes.
struct check_plan {
  /// Longest time for which no change may be known.
  duration LongestAge;
};

/// \returns how watches are checked so that a change is in force \p Within that
/// time of its acknowledgement, whatever the age of the copies, and
/// \p CheckedWithin that time where the answer that told it was lost.
check_plan checksFor(duration Within, duration CheckedWithin);

} // namespace masticproxy

#endif
