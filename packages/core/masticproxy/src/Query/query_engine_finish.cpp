// The part of the query engine that finishes requests and cancels their open
// attempts.

#include "masticproxy/src/Query/query_catalogue.h"
#include "masticproxy/src/Query/query_engine.h"

using namespace masticproxy;

void query_engine::on(leave_started) {
  Leaving = true;
  // Their connections end with the process: whoever waits must hear what became
  // of its request.
  while (!Runs.empty())
    finish(Runs.begin());
  if (Quota)
    for (const query_arrived &Waiting : Quota->takeAll())
      refuse(Waiting, not_run{"this VM is leaving"});
}

void query_engine::finishIfOver(query_ticket Ticket) {
  auto Run = Runs.find(Ticket);
  if (Run == Runs.end())
    return;
  bool Refused = relay_inbox::owns(Ticket) && Run->second.awaitsSnapshot();
  bool Due = Run->second.isPastTarget() && Run->second.hasEnoughCoverage();
  if (Run->second.complete() || Run->second.cannotReachCoverage() || Refused ||
      Due)
    finish(Run);
}

void query_engine::finish(run_map::iterator Run) {
  finishWith(Run, outcomeOf(*Run));
}

void query_engine::finishWith(run_map::iterator Run, query_outcome Outcome) {
  Deadlines.erase({Run->second.due(), Run->first});
  bool Stop = Run->second.cancelsRedundantAttempts() ||
              std::holds_alternative<caller_gone>(Outcome);
  releaseClaim(Run->second, Outcome);
  std::string RequestId = Run->second.requestId();
  releaseAdmissionSlot(Run->first, Run->second, Outcome);
  deliver(Run->first, std::move(RequestId), std::move(Outcome),
          accountOf(Run->second));
  cancelOpen(Run->second, Stop);
  for (std::size_t I = 0; I < Run->second.snapshot().Shards.size(); ++I)
    Waiting.drop({Run->first, I});
  Runs.erase(Run);
}

void query_engine::releaseAdmissionSlot(query_ticket Ticket,
                                        const query_run &Run,
                                        const query_outcome &Outcome) {
  // Attempts for other VMs have slots of their own, in the relay inbox.
  if (relay_inbox::owns(Ticket))
    return;
  Admission.onRequestFinished(
      Run.pinnedProfile(), Run.deadline() - Run.pinnedProfile().Wait,
      std::holds_alternative<answered>(Outcome), Clock.now());
}

query_account query_engine::accountOf(const query_run &Run) const {
  query_account Account;
  Account.Profile = Run.pinnedProfile().Name;
  Account.Version = Run.pinnedProfile().Version;
  Account.Team = Run.team();
  Account.Admitted = true;
  Account.Took = Clock.now() - (Run.deadline() - Run.pinnedProfile().Wait);
  Account.Shards = Run.snapshot().Shards.size();
  Account.Attempts = Run.attempts();
  Account.Missing = Run.missing();
  return Account;
}

void query_engine::cancelOpen(query_run &Run, bool Stop) {
  for (std::size_t I = 0; I < Run.snapshot().Shards.size(); ++I)
    cancelOpen(Run, I, Stop);
}

void query_engine::cancelOpen(query_run &Run, std::size_t Shard, bool Stop) {
  for (attempt_id Attempt : Run.openAttempts(Shard))
    cancel(Attempt, Stop);
}

void query_engine::cancelRedundant(query_run &Run, std::size_t Shard) {
  // The query was answered by the shard, so it does not crash its upstreams.
  for (attempt_id Attempt : Run.openAttempts(Shard))
    Poison.ended(Attempt);
  cancelOpen(Run, Shard, Run.cancelsRedundantAttempts());
}

void query_engine::cancel(attempt_id Attempt, bool Stop) {
  auto Found = Attempts.find(Attempt);
  if (Found == Attempts.end())
    return;
  attempt_record &Record = Found->second;
  bool WasCancelled = std::exchange(Record.Cancelled, true);
  time_point Now = Clock.now();
  if (!WasCancelled && !Record.Relayed)
    Upstreams.abandoned(
        {Record.Upstream, Record.Index, Record.Kind, Now - Record.SentAt}, Now);
  if (!Stop && !WasCancelled && !Record.Relayed)
    Commands.push_back(release_attempt{Attempt});
  if (!Stop || std::exchange(Record.Stopped, true))
    return;
  if (Record.Relayed)
    Commands.push_back(cancel_relay{Attempt});
  else
    Commands.push_back(cancel_attempt{Attempt});
}

void query_engine::refuse(const query_arrived &Request, query_outcome Outcome) {
  query_account Account;
  Account.Team = Request.Team;
  if (const profile *Profile = Catalogue->findProfile(Request.Profile)) {
    Account.Profile = Profile->Name;
    Account.Version = Profile->Version;
  }
  Commands.emplace_back(deliver_outcome{Request.Ticket, Request.RequestId,
                                        std::move(Outcome),
                                        std::move(Account)});
}
