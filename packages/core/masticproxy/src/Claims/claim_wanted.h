#ifndef MASTICPROXY_CLAIMS_CLAIM_WANTED_H
#define MASTICPROXY_CLAIMS_CLAIM_WANTED_H

#include "masticproxy/src/Base/clock.h"

#include <cstdint>
#include <string>

namespace masticproxy {

/// \brief Claim a request id, so that no other arrival of it runs.
struct claim_wanted {
  /// Names the arrival within this process.
  std::uint64_t Ticket = 0;
  std::string RequestId;
  /// When the claim is of no more use.
  time_point Deadline;
};

/// \brief Give back the claim of a request that was not run.
struct claim_unused {
  std::string RequestId;
  /// Version of the claim object.
  std::uint64_t Version = 0;
};

} // namespace masticproxy

#endif
