// The part of the query engine that deals with forwarded requests.

#include "masticproxy/src/Query/query_catalogue.h"
#include "masticproxy/src/Query/query_engine.h"

using namespace masticproxy;

std::shared_ptr<const route> query_engine::resolveRoute(query_arrived &Event) {
  if (!Event.Forwarded)
    return nullptr;
  std::shared_ptr<const route> Route =
      Catalogue->findRoute(Event.Forwarded->Host, Event.Forwarded->Target);
  if (!Route)
    return nullptr;
  Event.Profile = Route->Profile;
  Event.Index = Indexes.next(*Route);
  return Route;
}

void query_engine::abandonUnservedShards(query_run &Run) {
  for (std::size_t I = 0; I < Run.snapshot().Shards.size(); ++I)
    abandonUnserved(Run, I);
}

bool query_engine::abandonUnserved(query_run &Run, std::size_t Shard) {
  if (!Run.forwardRoute())
    return false;
  time_point Now = Clock.now();
  std::optional<time_point> Next =
      Upstreams.nextAvailable(replicasOf(Run, Shard), Now);
  // One that pauses is waited for where its answer could still be in time.
  if (Next && *Next <= std::max(Now, Run.due()))
    return false;
  Run.abandonShard(Shard, gap_cause::OutOfReach);
  if (Next)
    Run.setRetryAfter(
        std::chrono::ceil<std::chrono::milliseconds>(*Next - Now));
  return true;
}

void query_engine::on(const upstream_status &Event) {
  Upstreams.onStatus(Event, Clock.now());
}
