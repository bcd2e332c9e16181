/// \file
/// Requests for a shard none of whose local replicas can be reached. They are
/// relayed to a VM of another data centre. Once this is known, the engine must
/// not spend further attempts on the local replicas for each request.

#include "manual_clock.h"
#include "masticproxy/Query"

#include <criterion/criterion.h>

using namespace masticproxy;

namespace {

std::shared_ptr<const query_catalogue> makeCatalogue() {
  auto Map = std::make_shared<index_snapshot>();
  Map->Id = "s1";
  Map->Shards = {
      {"0", {{"a", "dc1", 1, 9}, {"b", "dc1", 1, 9}, {"x", "dc2", 1, 9}}}};
  auto Catalogue = std::make_shared<query_catalogue>();
  Catalogue->setProfile(
      {"p", std::chrono::milliseconds(100), 1.0, /*MayRepeat=*/true});
  Catalogue->setIndex({"i", Map});
  return Catalogue;
}

template <typename Command>
std::vector<Command> allOf(const std::vector<engine_command> &Commands) {
  std::vector<Command> Found;
  for (const engine_command &One : Commands)
    if (auto *Same = std::get_if<Command>(&One))
      Found.push_back(*Same);
  return Found;
}

} // namespace

Test(unreachable_replicas, requests_are_relayed_without_local_retries) {
  manual_clock Clock;
  query_engine Engine(Clock, {.Queries = 64, .DataCentre = "dc1"});
  Engine.handle(catalogue_changed{makeCatalogue()});
  member_info Remote;
  Remote.Name = "vm-x";
  Remote.DataCentre = "dc2";
  Engine.setRemotes({Remote});
  auto Commands = Engine.handle(query_arrived{1, "r", "p", "i", "{}"});
  for (int I = 0; I < 2; ++I)
    Commands = Engine.handle(attempt_failed{
        allOf<send_attempt>(Commands).at(0).Attempt, attempt_failure::NotSent});
  cr_assert(allOf<send_relay>(Commands).size() == 1);
  for (query_ticket Ticket = 2; Ticket < 40; ++Ticket) {
    Commands = Engine.handle(query_arrived{Ticket, "r", "p", "i", "{}"});
    cr_assert(allOf<send_relay>(Commands).size() == 1);
    cr_assert(allOf<send_attempt>(Commands).empty());
  }
}
