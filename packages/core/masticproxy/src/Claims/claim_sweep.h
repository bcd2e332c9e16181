#ifndef MASTICPROXY_CLAIMS_CLAIM_SWEEP_H
#define MASTICPROXY_CLAIMS_CLAIM_SWEEP_H

#include "masticproxy/src/Claims/claim_operation.h"
#include "masticproxy/src/Claims/claim_timing.h"

#include <chrono>
#include <span>
#include <vector>

namespace masticproxy {

/// \returns which of the claim objects in \p Standing are obsolete at the wall
/// time \p Now and are to be deleted, at most \p Limit of them.
std::vector<remove_claim> sweepClaims(std::span<const remove_claim> Standing,
                                      std::chrono::microseconds Now,
                                      const claim_timing &Timing,
                                      std::size_t Limit);

} // namespace masticproxy

#endif
