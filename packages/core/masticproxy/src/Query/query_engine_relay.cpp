// The part of the query engine that relays attempts to VMs of other data
// centres and runs attempts for them.

#include "masticproxy/src/Query/query_catalogue.h"
#include "masticproxy/src/Query/query_engine.h"

#include <algorithm>

using namespace masticproxy;

namespace {

/// An attempt is relayed only if all replicas to which this VM sends attempts
/// itself, usually those in its data centre, stay draining or suspect for
/// longer than this. A refusal because of overload does not count, or overload
/// would spread to other data centres.
constexpr std::chrono::milliseconds LocalReplicaWait{50};

/// Time reserved for the transfer of the answer back to this VM.
constexpr std::chrono::milliseconds ReturnTripTime{5};

/// \returns a snapshot with the id of \p Whole and only the shard \p Shard,
/// which is all that a relayed attempt needs; null if there is no such shard.
std::shared_ptr<const index_snapshot> onlyShard(const index_snapshot &Whole,
                                                std::string_view Shard) {
  auto Found = std::find_if(Whole.Shards.begin(), Whole.Shards.end(),
                            [&](const shard &S) { return S.Id == Shard; });
  if (Found == Whole.Shards.end())
    return nullptr;
  auto Single = std::make_shared<index_snapshot>();
  Single->Id = Whole.Id;
  Single->Shards.push_back(*Found);
  return Single;
}

} // namespace

bool query_engine::startRelay(query_ticket Ticket, query_run &Run,
                              std::size_t Shard) {
  // An attempt that was relayed to this VM is not relayed again.
  if (relay_inbox::owns(Ticket))
    return false;
  time_point Now = Clock.now();
  const shard &Target = Run.snapshot().Shards[Shard];
  if (Upstreams.anyAvailableBy(replicasOf(Run, Shard), Now + LocalReplicaWait))
    return false;
  time_point Deadline = Run.deadline() - ReturnTripTime;
  const member_info *Vm = Router.choose(Target, Run.tried(Shard), Now);
  if (!Vm || Deadline <= Now)
    return false;
  attempt_id Attempt = NextAttempt++;
  Router.attemptStarted(Vm->Name);
  Run.attemptStarted(Shard, Attempt, Vm->Name);
  attempt_record Record;
  Record.Ticket = Ticket;
  Record.Shard = Shard;
  Record.Generation = Run.generation();
  // The target of a relayed attempt is a VM.
  Record.Upstream = Vm->Name;
  Record.Relayed = true;
  Record.Index = Run.indexName();
  Record.SentAt = Now;
  Attempts.emplace(Attempt, std::move(Record));
  send_relay Command{Vm->Name, Vm->PeerAddress, {}, Deadline};
  Command.Request.Attempt = Attempt;
  Command.Request.RequestId = Run.requestId();
  Command.Request.Index = Run.indexName();
  Command.Request.Snapshot = Run.snapshot().Id;
  Command.Request.Shard = Target.Id;
  Command.Request.Body = Run.body();
  Command.Request.Idempotent = Run.pinnedProfile().MayRepeat;
  Commands.push_back(std::move(Command));
  return true;
}

void query_engine::on(relay_failed Event) {
  std::optional<attempt_record> Record = endAttempt(Event.Attempt);
  if (!Record)
    return;
  Router.attemptFailed(Record->Upstream, Event.End, Clock.now());
  continueAfterFailure(
      *Record, attempt_failed{Event.Attempt, attemptFailureOf(Event.End)});
}

void query_engine::on(const relay_arrived &Event) {
  const relay_request &RelayRequest = Event.Request;
  auto Decision = Inbox.accept(RelayRequest, Event.Connection, Clock.now());
  if (Decision.Answer)
    Commands.push_back(answer_relay{Event.Connection, RelayRequest.RequestId,
                                    std::move(*Decision.Answer)});
  if (!Decision.Ticket)
    return;
  query_ticket Ticket = *Decision.Ticket;
  const index_map *Index = Catalogue->findIndex(RelayRequest.Index);
  bool SameSnapshot = Index && Index->Current->Id == RelayRequest.Snapshot;
  auto Single =
      SameSnapshot ? onlyShard(*Index->Current, RelayRequest.Shard) : nullptr;
  if (!Single)
    return deliver(Ticket, RelayRequest.RequestId, unknown_index{});
  if (Poison.condemned(fingerprintOf(RelayRequest.Index, *RelayRequest.Body)))
    return deliver(Ticket, RelayRequest.RequestId, condemned{});
  if (Event.Deadline <= Clock.now())
    return deliver(Ticket, RelayRequest.RequestId,
                   not_run{"the deadline of the relayed attempt has passed"});

  profile Rules;
  Rules.Wait = std::chrono::duration_cast<std::chrono::milliseconds>(
      Event.Deadline - Clock.now());
  Rules.MayRepeat = RelayRequest.Idempotent;
  query_arrived Request{Ticket, RelayRequest.RequestId, "", RelayRequest.Index,
                        *RelayRequest.Body};
  query_run NewRun(std::move(Request), Rules, std::move(Single),
                   Event.Deadline);
  auto Position = Runs.emplace(Ticket, std::move(NewRun)).first;
  Deadlines.emplace(Event.Deadline, Ticket);
  startShards(Ticket, Position->second);
  finishIfOver(Ticket);
}

void query_engine::on(const relay_cancelled &Event) {
  std::optional<query_ticket> Ticket = Inbox.cancel(Event.Cancel, Clock.now());
  if (!Ticket)
    return;
  auto Run = Runs.find(*Ticket);
  if (Run != Runs.end())
    finish(Run);
}

void query_engine::on(relays_closed) { Inbox.leave(); }

query_outcome query_engine::outcomeOf(run_map::reference Run) const {
  // The VM that relayed the attempt then records attempt_failure::SnapshotGone,
  // so that it may restart the request on a newer snapshot.
  bool Relayed = relay_inbox::owns(Run.first);
  if (Relayed && Run.second.awaitsSnapshot() && Run.second.nothingRan())
    return unknown_index{};
  return Run.second.finish(Clock.now());
}

void query_engine::deliver(query_ticket Ticket, std::string RequestId,
                           query_outcome Outcome, query_account Account) {
  if (!relay_inbox::owns(Ticket)) {
    Commands.push_back(deliver_outcome{Ticket, std::move(RequestId),
                                       std::move(Outcome), std::move(Account)});
    return;
  }
  if (auto Reply = Inbox.finish(Ticket, std::move(Outcome)))
    Commands.push_back(answer_relay{Reply->Connection, std::move(RequestId),
                                    std::move(Reply->Message)});
}
