#ifndef MASTICPROXY_POISON_SUSPICION_ENDED_H
#define MASTICPROXY_POISON_SUSPICION_ENDED_H

#include "masticproxy/src/Poison/query_fingerprint.h"

namespace masticproxy {

/// \brief A query that was suspect was answered by the shard of the death, so
/// it did not cause it.
struct suspicion_ended {
  query_fingerprint Fingerprint = 0;

  bool operator==(const suspicion_ended &) const = default;
};

} // namespace masticproxy

#endif
