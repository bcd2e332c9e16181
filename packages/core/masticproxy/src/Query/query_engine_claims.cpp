#include "masticproxy/src/Claims/request_time.h"
#include "masticproxy/src/Query/query_engine.h"

using namespace masticproxy;

namespace {

/// Maps the verdict on a claim that does not let the request run to its
/// outcome.
struct refusal {
  query_outcome operator()(const claim_granted &) const {
    return outcome_unknown{"the claim came too late"};
  }

  query_outcome operator()(const claim_taken &Verdict) const {
    return outcome_unknown{
        "this request id arrived before and was claimed by " + Verdict.Holder +
        "; it may have run and is not run again"};
  }

  query_outcome operator()(const claim_too_old &) const {
    return outcome_unknown{"this request id is too old to be claimed; it was "
                           "not run now, but may have run before"};
  }

  query_outcome operator()(const claim_unconfirmed &) const {
    return not_run{"the platform confirmed no claim for a request that must "
                   "not run twice"};
  }
};

} // namespace

std::optional<query_outcome>
query_engine::checkRequestId(const std::string &RequestId) const {
  switch (judgeRequestId(RequestId, Clock.wallTime(), Limits.Claims)) {
  case request_id_state::Usable:
    return std::nullopt;
  case request_id_state::WithoutTime:
    return bad_request{"the profile forbids repeats, so x-request-id needs its "
                       "time: a UUID of version 7 or MILLISECONDS-TEXT"};
  case request_id_state::Ahead:
    return bad_request{"the time in x-request-id lies ahead"};
  case request_id_state::TooOld:
    break;
  }
  return refusal{}(claim_too_old{});
}

void query_engine::awaitClaim(query_ticket Ticket, query_run &Run) {
  Run.claim().await();
  Commands.emplace_back(claim_wanted{Ticket, Run.requestId(), Run.deadline()});
}

void query_engine::on(claim_decision Event) {
  auto Position = Runs.find(Event.Ticket);
  auto *Granted = std::get_if<claim_granted>(&Event.Verdict);
  if (Position == Runs.end()) {
    // The request has ended: its caller was told that it was not run, so the
    // claim was not used.
    if (Granted)
      Commands.emplace_back(claim_unused{Event.RequestId, Granted->Version});
    return;
  }
  if (!Position->second.claim().isAwaited())
    return;
  if (!Granted)
    return finishWith(Position, std::visit(refusal{}, Event.Verdict));
  Position->second.claim().grant(Granted->Version);
  startShards(Event.Ticket, Position->second);
  finishIfOver(Event.Ticket);
}

void query_engine::releaseClaim(const query_run &Run,
                                const query_outcome &Outcome) {
  std::uint64_t Version = Run.claim().version();
  if (Version != 0 && std::holds_alternative<not_run>(Outcome))
    Commands.emplace_back(claim_unused{Run.requestId(), Version});
}
