// The parts of the query engine that deal with VMs of other data centres.

#include "masticproxy/src/Query/query_catalogue.h"
#include "masticproxy/src/Query/query_engine.h"

#include <algorithm>

using namespace masticproxy;

namespace {

/// How long a shard waits for a replica of its own data centre that refused
/// before it is asked for elsewhere: overload must not spread.
constexpr std::chrono::milliseconds LocalPatience{50};

/// Time kept back for the answer's way back to this VM.
constexpr std::chrono::milliseconds ReturnAllowance{5};

/// The shard alone, with the snapshot's id: a relayed attempt asks for no more.
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
  // What came from another data centre goes to no third one.
  if (relay_inbox::owns(Ticket))
    return false;
  time_point Now = Clock.now();
  const shard &Target = Run.snapshot().Shards[Shard];
  if (Upstreams.anyAvailableBy(replicasOf(Run, Shard), Now + LocalPatience))
    return false;
  time_point Deadline = Run.deadline() - ReturnAllowance;
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
  goOnAfter(*Record,
            attempt_failed{Event.Attempt, attemptFailureOf(Event.End)});
}

void query_engine::on(const relay_arrived &Event) {
  const relay_request &Asked = Event.Request;
  auto Accepted = Inbox.accept(Asked, Event.Connection, Clock.now());
  if (Accepted.Answer)
    Commands.push_back(answer_relay{Event.Connection, Asked.RequestId,
                                    std::move(*Accepted.Answer)});
  if (!Accepted.Ticket)
    return;
  query_ticket Ticket = *Accepted.Ticket;
  const index_map *Index = Catalogue->findIndex(Asked.Index);
  bool SameSnapshot = Index && Index->Current->Id == Asked.Snapshot;
  auto Single =
      SameSnapshot ? onlyShard(*Index->Current, Asked.Shard) : nullptr;
  if (!Single)
    return deliver(Ticket, Asked.RequestId, unknown_index{});
  if (Poison.condemned(fingerprintOf(Asked.Index, *Asked.Body)))
    return deliver(Ticket, Asked.RequestId, condemned{});
  if (Event.Deadline <= Clock.now())
    return deliver(Ticket, Asked.RequestId, not_run{"its time was over"});

  profile Rules;
  Rules.Wait = std::chrono::duration_cast<std::chrono::milliseconds>(
      Event.Deadline - Clock.now());
  Rules.MayRepeat = Asked.Idempotent;
  query_arrived Request{Ticket, Asked.RequestId, "", Asked.Index, *Asked.Body};
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

query_outcome query_engine::outcomeOf(run_map::reference Run) {
  bool Relayed = relay_inbox::owns(Run.first);
  if (Relayed && Run.second.awaitsSnapshot() && Run.second.nothingRan())
    return unknown_index{};
  return Run.second.finish();
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
