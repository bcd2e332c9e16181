#ifndef MASTICPROXY_POISON_UPSTREAM_ATTEMPT_H
#define MASTICPROXY_POISON_UPSTREAM_ATTEMPT_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Poison/query_fingerprint.h"

#include <string>

namespace masticproxy {

/// \brief An attempt of a query at an upstream, as far as it matters if that
/// upstream dies.
struct upstream_attempt {
  query_fingerprint Fingerprint = 0;
  /// Identity of the upstream's process.
  std::string Process;
  std::string Address;
  std::string Shard;
  time_point Started{};
  /// When it ended without a response; unset while it is in flight.
  time_point Ended{};
  /// Whether the query was a suspect when the attempt started; a suspect has
  /// only one attempt in flight.
  bool Suspect = false;
  /// Whether the death of its upstream is recorded already.
  bool DeathRecorded = false;
};

} // namespace masticproxy

#endif
