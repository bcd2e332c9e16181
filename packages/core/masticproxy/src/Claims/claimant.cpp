#include "masticproxy/src/Claims/claimant.h"

#include "masticproxy/src/Claims/request_time.h"

#include <algorithm>
#include <utility>

using namespace masticproxy;

namespace {

/// Calls for one claim; a platform that answers none of them is taken as down.
constexpr unsigned MaxCalls = 4;

/// Pause after a call without an answer.
constexpr std::chrono::milliseconds RetryPause{50};

/// Claims that wait to be given back; a sweep deletes the ones dropped.
constexpr std::size_t MaxUnused = 1024;

} // namespace

claimant::claimant(const clock &Clock, std::string Process, claim_timing Timing)
    : Clock(Clock), Process(std::move(Process)), Timing(Timing) {}

void claimant::want(claim_wanted Wanted) {
  Waiting.push_back({std::move(Wanted), 0, Clock.now()});
}

void claimant::release(claim_unused Claim) {
  if (Unused.size() < MaxUnused)
    Unused.push_back(std::move(Claim));
}

std::optional<claim_operation> claimant::next() {
  time_point Now = Clock.now();
  while (!Waiting.empty() && Waiting.front().NotBefore <= Now) {
    waiting_claim Claim = std::move(Waiting.front());
    Waiting.pop_front();
    if (Claim.Wanted.Deadline <= Now) {
      decide(Claim, claim_unconfirmed{});
      continue;
    }
    ++Claim.Calls;
    Asked = std::move(Claim);
    std::uint64_t Ticket = Asked->Wanted.Ticket;
    return create_claim{Ticket, Asked->Wanted.RequestId, valueFor(Ticket)};
  }
  if (Unused.empty())
    return std::nullopt;
  claim_unused Claim = std::move(Unused.front());
  Unused.pop_front();
  return remove_claim{std::move(Claim.RequestId), Claim.Version};
}

std::optional<time_point> claimant::nextWakeup() const {
  if (!Unused.empty())
    return Clock.now();
  if (Waiting.empty())
    return std::nullopt;
  return Waiting.front().NotBefore;
}

void claimant::answered(const create_claim &Operation,
                        const create_answer &Answer) {
  if (!Asked || Asked->Wanted.Ticket != Operation.Ticket)
    return;
  if (std::holds_alternative<claim_unanswered>(Answer))
    return retry();
  waiting_claim Claim = *std::exchange(Asked, std::nullopt);
  claim_verdict Verdict = verdictOf(Operation, Answer);
  // A claim made after an earlier one of the id was swept proves nothing. A
  // sweep waits until every VM takes the id for too old, so judging the id
  // after the object was made finds out.
  bool Usable = judgeRequestId(Claim.Wanted.RequestId, Clock.wallTime(),
                               Timing) == request_id_state::Usable;
  if (std::holds_alternative<claim_granted>(Verdict) && !Usable)
    Verdict = claim_too_old{};
  decide(Claim, std::move(Verdict));
}

std::vector<claim_decision> claimant::takeDecisions() {
  return std::exchange(Decisions, {});
}

void claimant::decide(const waiting_claim &Claim, claim_verdict Verdict) {
  Decisions.push_back(
      {Claim.Wanted.Ticket, Claim.Wanted.RequestId, std::move(Verdict)});
}

void claimant::retry() {
  waiting_claim Claim = *std::exchange(Asked, std::nullopt);
  if (Claim.Calls >= MaxCalls)
    return decide(Claim, claim_unconfirmed{});
  Claim.NotBefore = Clock.now() + RetryPause;
  // Kept in the order of NotBefore, which next() relies on.
  auto Later = [&](const waiting_claim &Other) {
    return Other.NotBefore > Claim.NotBefore;
  };
  auto Position = std::find_if(Waiting.begin(), Waiting.end(), Later);
  Waiting.insert(Position, std::move(Claim));
}

claim_verdict claimant::verdictOf(const create_claim &Operation,
                                  const create_answer &Answer) {
  if (auto *Created = std::get_if<claim_created>(&Answer))
    return claim_granted{Created->Version};
  const auto &Found = std::get<claim_found>(Answer);
  // An earlier call of this arrival made it, and its answer was lost.
  if (Found.Value == Operation.Value)
    return claim_granted{Found.Version};
  return claim_taken{Found.Value};
}

std::string claimant::valueFor(std::uint64_t Ticket) const {
  return Process + "/" + std::to_string(Ticket);
}
