#include "masticproxy/src/Relay/relay_inbox.h"

#include <iterator>

using namespace masticproxy;

namespace {

/// How long the attempts of a silent origin are remembered: longer than any
/// profile's wait, so that nothing of it can still be on the way.
constexpr std::chrono::minutes OriginMemory{20};

/// Turns the outcome of a relayed attempt into the answer to its origin.
struct answer_maker {
  std::uint64_t Attempt;
  const std::string &RequestId;

  relay_message operator()(answered &Outcome) const {
    if (Outcome.Results.size() != 1)
      return relay_unknown{Attempt};
    relay_result Result;
    Result.Attempt = Attempt;
    Result.Result.RequestId = RequestId;
    Result.Result.Snapshot = std::move(Outcome.Snapshot);
    Result.Result.Shard = std::move(Outcome.Results.front().Shard);
    Result.Result.Body = std::move(Outcome.Results.front().Body);
    return Result;
  }
  relay_message operator()(not_run &) const {
    return relay_refusal{Attempt, refusal_reason::NoUpstream};
  }
  relay_message operator()(outcome_unknown &) const {
    return relay_unknown{Attempt};
  }
  relay_message operator()(too_late &) const { return relay_unknown{Attempt}; }
  relay_message operator()(condemned &Outcome) const {
    if (Outcome.MayHaveRun)
      return relay_unknown{Attempt};
    return relay_refusal{Attempt, refusal_reason::NoUpstream};
  }
  relay_message operator()(bad_request &) const {
    return relay_refusal{Attempt, refusal_reason::NoUpstream};
  }
  relay_message operator()(unknown_profile &) const {
    return relay_refusal{Attempt, refusal_reason::NoUpstream};
  }
  relay_message operator()(unknown_route &) const {
    return relay_refusal{Attempt, refusal_reason::NoUpstream};
  }
  relay_message operator()(unknown_key &) const {
    return relay_refusal{Attempt, refusal_reason::NoUpstream};
  }
  relay_message operator()(over_quota &) const {
    return relay_refusal{Attempt, refusal_reason::NoUpstream};
  }
  relay_message operator()(caller_gone &) const {
    return relay_unknown{Attempt};
  }
  relay_message operator()(unknown_index &) const {
    return relay_refusal{Attempt, refusal_reason::SnapshotUnknown};
  }
};

} // namespace

relay_inbox::admission relay_inbox::accept(const relay_request &Request,
                                           std::uint64_t Connection,
                                           time_point Now) {
  origin_key Origin{Request.Origin, Request.Incarnation};
  switch (note(Origin, Request.Attempt, Now)) {
  case replay_window::verdict::Seen:
    return {};
  case replay_window::verdict::TooOld:
    // It may be a copy of one that ran, so "not run" would be a guess.
    return {std::nullopt, relay_unknown{Request.Attempt}};
  case replay_window::verdict::New:
    break;
  }
  if (Leaving)
    return {std::nullopt,
            relay_refusal{Request.Attempt, refusal_reason::Leaving}};
  if (Running.size() >= Limit)
    return {std::nullopt,
            relay_refusal{Request.Attempt, refusal_reason::Overloaded}};
  std::uint64_t Ticket = ++NextTicket;
  Tickets.emplace(std::pair(Origin, Request.Attempt), Ticket);
  Running.emplace(Ticket, open_attempt{std::move(Origin), Request.Attempt,
                                       Connection, Request.RequestId});
  return {Ticket, std::nullopt};
}

std::optional<std::uint64_t> relay_inbox::cancel(const relay_cancel &Cancel,
                                                 time_point Now) {
  origin_key Origin{Cancel.Origin, Cancel.Incarnation};
  note(Origin, Cancel.Attempt, Now);
  auto Found = Tickets.find({std::move(Origin), Cancel.Attempt});
  if (Found == Tickets.end())
    return std::nullopt;
  return Found->second;
}

std::optional<relay_inbox::reply> relay_inbox::finish(std::uint64_t Ticket,
                                                      query_outcome Outcome) {
  auto Found = Running.find(Ticket);
  if (Found == Running.end())
    return std::nullopt;
  open_attempt Open = std::move(Found->second);
  Running.erase(Found);
  Tickets.erase({Open.Origin, Open.Attempt});
  return reply{Open.Connection,
               std::visit(answer_maker{Open.Attempt, Open.RequestId}, Outcome)};
}

replay_window::verdict relay_inbox::note(const origin_key &Origin,
                                         std::uint64_t Attempt,
                                         time_point Now) {
  auto [Found, Added] = Origins.try_emplace(Origin);
  Found->second.LastHeard = Now;
  replay_window::verdict Verdict = Found->second.Seen.note(Attempt);
  if (!Added)
    return Verdict;
  // Origins come and go with the VMs; a new one is the time to forget old ones.
  for (auto Other = Origins.begin(); Other != Origins.end();)
    Other = Now - Other->second.LastHeard > OriginMemory ? Origins.erase(Other)
                                                         : std::next(Other);
  return Verdict;
}
