#ifndef MASTICPROXY_CLAIMS_CLAIMANT_H
#define MASTICPROXY_CLAIMS_CLAIMANT_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Claims/claim_decision.h"
#include "masticproxy/src/Claims/claim_operation.h"
#include "masticproxy/src/Claims/claim_timing.h"
#include "masticproxy/src/Claims/claim_wanted.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace masticproxy {

/// \brief Claims request ids for one VM, through create-only objects of the
/// platform.
///
/// The owner carries out the operations of next() one after another and hands
/// the answers to answered().
class claimant {
public:
  /// \p Process names this VM and its start; no other process may have it.
  claimant(const clock &Clock, std::string Process, claim_timing Timing);

  /// Starts to claim. The decision comes from takeDecisions().
  void want(claim_wanted Wanted);

  /// Starts to give a claim back.
  void release(claim_unused Claim);

  /// \returns the operation that is due now, if there is one.
  std::optional<claim_operation> next();

  /// \returns when an operation is due, if one waits.
  std::optional<time_point> nextWakeup() const;

  /// Takes in how the platform answered \p Operation.
  void answered(const create_claim &Operation, const create_answer &Answer);

  /// Moves out what was decided since the last call.
  std::vector<claim_decision> takeDecisions();

private:
  struct waiting_claim {
    claim_wanted Wanted;
    unsigned Calls = 0;
    time_point NotBefore;
  };

  void decide(const waiting_claim &Claim, claim_verdict Verdict);
  void retry();
  static claim_verdict verdictOf(const create_claim &Operation,
                                 const create_answer &Answer);
  std::string valueFor(std::uint64_t Ticket) const;

  const clock &Clock;
  std::string Process;
  claim_timing Timing;
  std::deque<waiting_claim> Waiting;
  std::optional<waiting_claim> Asked;
  std::deque<claim_unused> Unused;
  std::vector<claim_decision> Decisions;
};

} // namespace masticproxy

#endif
