#include "masticproxy/src/Claims/claim_sweep.h"

#include "masticproxy/src/Claims/request_time.h"

using namespace masticproxy;

std::vector<remove_claim>
masticproxy::sweepClaims(std::span<const remove_claim> Standing,
                         std::chrono::microseconds Now,
                         const claim_timing &Timing, std::size_t Limit) {
  std::vector<remove_claim> Obsolete;
  for (const remove_claim &Claim : Standing) {
    if (Obsolete.size() >= Limit)
      break;
    if (claimIsObsolete(Claim.RequestId, Now, Timing))
      Obsolete.push_back(Claim);
  }
  return Obsolete;
}
