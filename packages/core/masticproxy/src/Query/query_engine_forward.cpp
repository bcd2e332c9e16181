// The part of the query engine that deals with forwarded requests.

#include "masticproxy/src/Query/query_catalogue.h"
#include "masticproxy/src/Query/query_engine.h"
#include "masticproxy/src/Teams/team_directory.h"

using namespace masticproxy;

std::shared_ptr<const route> query_engine::resolveRoute(query_arrived &Event) {
  if (!Event.Forwarded)
    return nullptr;
  std::shared_ptr<const route> Route =
      Catalogue->findRoute(Event.Forwarded->Host, Event.Forwarded->Target);
  if (!Route)
    return nullptr;
  Event.Profile = Route->Profile;
  // A request that waited has been counted for the weights.
  if (!Route->has(Event.Index))
    Event.Index = Indexes.next(*Route);
  return Route;
}

bool query_engine::resolveTeam(const route &Route, query_arrived &Event) const {
  std::string Key = std::exchange(Event.Key, {});
  const team_directory *Teams = Catalogue->teams();
  if (!Teams || Route.Public || Event.HasToken)
    return true;
  const team *Team = Teams->findByKey(Key);
  if (!Team)
    return false;
  Event.Team = Team->Name;
  return true;
}

unsigned query_engine::priorityOf(const profile &Profile,
                                  const query_arrived &Event) const {
  const team_directory *Teams = Catalogue->teams();
  const team *Team = Teams ? Teams->find(Event.Team) : nullptr;
  return Team ? Team->Priority.value_or(Profile.Priority) : Profile.Priority;
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
