#ifndef MASTICPROXY_CLAIMS_CLAIM_DECISION_H
#define MASTICPROXY_CLAIMS_CLAIM_DECISION_H

#include <cstdint>
#include <string>
#include <variant>

namespace masticproxy {

/// \brief This arrival, and no other, may run the request id.
struct claim_granted {
  /// Version of the claim object.
  std::uint64_t Version = 0;
};

/// \brief An earlier arrival holds the claim: the request may have run.
struct claim_taken {
  /// Names the VM, its start and the arrival that hold the claim.
  std::string Holder;
};

/// \brief The request id is so old that an earlier claim may be gone.
struct claim_too_old {};

/// \brief The platform confirmed no claim: this arrival may not run.
struct claim_unconfirmed {};

using claim_verdict =
    std::variant<claim_granted, claim_taken, claim_too_old, claim_unconfirmed>;

/// \brief What became of a claim_wanted.
struct claim_decision {
  std::uint64_t Ticket = 0;
  std::string RequestId;
  claim_verdict Verdict;
};

} // namespace masticproxy

#endif
