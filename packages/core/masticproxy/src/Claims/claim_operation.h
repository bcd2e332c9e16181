#ifndef MASTICPROXY_CLAIMS_CLAIM_OPERATION_H
#define MASTICPROXY_CLAIMS_CLAIM_OPERATION_H

#include <cstdint>
#include <string>
#include <variant>

namespace masticproxy {

/// \brief Create the claim object of a request id, if there is none.
struct create_claim {
  std::uint64_t Ticket = 0;
  std::string RequestId;
  std::string Value;
};

/// \brief Delete a claim object if its version still stands.
struct remove_claim {
  std::string RequestId;
  std::uint64_t Version = 0;
};

/// \brief One call to the platform.
using claim_operation = std::variant<create_claim, remove_claim>;

/// \brief The claim object was created by this call.
struct claim_created {
  std::uint64_t Version = 0;
};

/// \brief A claim object stood there before.
struct claim_found {
  std::string Value;
  std::uint64_t Version = 0;
};

/// \brief No answer came; the claim object may have been created.
struct claim_unanswered {};

/// \brief How the platform answered a create_claim.
using create_answer =
    std::variant<claim_created, claim_found, claim_unanswered>;

} // namespace masticproxy

#endif
