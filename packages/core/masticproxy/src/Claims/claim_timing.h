#ifndef MASTICPROXY_CLAIMS_CLAIM_TIMING_H
#define MASTICPROXY_CLAIMS_CLAIM_TIMING_H

#include <chrono>

namespace masticproxy {

/// \brief Spans that decide how long a request id may be used.
struct claim_timing {
  /// Oldest request id that may still be claimed.
  std::chrono::milliseconds MaxAge = std::chrono::minutes(5);
  /// Farthest that a request id's time may lie ahead of a VM's wall time.
  std::chrono::milliseconds MaxAhead = std::chrono::minutes(1);
  /// Farthest that a VM's wall time may be from the true time.
  std::chrono::milliseconds MaxSkew = std::chrono::seconds(5);
};

} // namespace masticproxy

#endif
