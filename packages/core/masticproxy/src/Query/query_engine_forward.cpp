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
  if (!Run.forwardRoute())
    return;
  for (std::size_t I = 0; I < Run.snapshot().Shards.size(); ++I)
    if (!Upstreams.anySelectable(replicasOf(Run, I)))
      Run.abandonShard(I, gap_cause::OutOfReach);
}
