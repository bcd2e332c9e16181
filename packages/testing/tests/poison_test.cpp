/// \file
/// A query that kills each upstream which runs it, sent again and again.

#include "masticproxy/Harness"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <thread>

using namespace masticproxy;

namespace {

constexpr const char *Lookup =
    "wait = \"1s\"\ncoverage = 1.0\nmay_repeat = true\n";
constexpr const char *Order =
    "wait = \"1s\"\ncoverage = 1.0\nmay_repeat = false\n";
constexpr int Sends = 20;
constexpr int MaxDeaths = 3;

/// As the harness has them where a test does not say otherwise.
constexpr unsigned Shards = 4;
constexpr unsigned UsualReplicas = 3;

bool inForce(test_cluster &Cluster, std::size_t Vm) {
  std::string Status = Cluster.get(Cluster.callersAddress(Vm), "/v1/status");
  return Status.find("order") != std::string::npos &&
         Status.find("lookup") != std::string::npos;
}

void startWithProfiles(test_cluster &Cluster, std::size_t VmCount) {
  Cluster.startAll();
  Cluster.setProfile("lookup", Lookup);
  Cluster.setProfile("order", Order);
  for (std::size_t Vm = 0; Vm < VmCount; ++Vm)
    cr_assert(Cluster.waitUntil([&] { return inForce(Cluster, Vm); }));
}

std::string codeOf(const std::optional<http_response> &Response) {
  if (!Response)
    return "none";
  return nlohmann::json::parse(Response->Body).value("code", "none");
}

int deathsIn(test_cluster &Cluster, unsigned Replicas) {
  int Deaths = 0;
  for (unsigned I = 0; I < Shards * Replicas; ++I) {
    std::string Address = Cluster.upstreamAddress(I / Replicas, I % Replicas);
    // An upstream that died listens again after a while.
    cr_assert(Cluster.waitUntil(
        [&] { return !Cluster.get(Address, "/stub/counts").empty(); }));
    Deaths += nlohmann::json::parse(Cluster.get(Address, "/stub/counts"))
                  .value("deaths", 0);
  }
  return Deaths;
}

} // namespace

Test(poison, an_idempotent_one_sent_again_kills_few) {
  // The deaths are all of one shard. With one replica more than there may be
  // deaths, an innocent query can always be answered.
  constexpr unsigned Replicas = MaxDeaths + 1;
  test_cluster Cluster({.FirstPort = 22700, .Replicas = Replicas});
  startWithProfiles(Cluster, 2);
  std::string Last;
  for (int I = 0; I < Sends; ++I)
    Last = codeOf(Cluster.query(I % 2, "lookup", "", "poison"));
  cr_assert(Last == "condemned");
  std::string Innocent = codeOf(Cluster.query(0, "lookup", "", "{}"));
  cr_assert(Innocent == "answered", "%s", Innocent.c_str());
  int Deaths = deathsIn(Cluster, Replicas);
  cr_assert(Deaths <= MaxDeaths, "%d deaths", Deaths);
}

Test(poison, a_non_idempotent_one_through_three_vms_kills_few) {
  test_cluster Cluster(
      {.FirstPort = 22800, .VmDataCentres = {"dc1", "dc1", "dc1"}});
  startWithProfiles(Cluster, 3);
  std::string Last;
  for (int I = 0; I < Sends; ++I)
    Last = codeOf(Cluster.query(I % 3, "order", "", "poison"));
  cr_assert(Last == "condemned");
  int Deaths = deathsIn(Cluster, UsualReplicas);
  cr_assert(Deaths <= MaxDeaths, "%d deaths", Deaths);
}

Test(poison, an_innocent_query_beside_it_is_answered) {
  test_cluster Cluster({.FirstPort = 22900});
  startWithProfiles(Cluster, 2);
  auto Body = [](int I) { return "{\"n\":" + std::to_string(I % 5) + "}"; };
  for (int I = 0; I < 5; ++I)
    cr_assert(codeOf(Cluster.query(1, "lookup", "", Body(I))) == "answered");
  int Answered = 0;
  int Condemned = 0;
  std::thread Caller([&] {
    for (int I = 0; I < 100; ++I) {
      std::string Code = codeOf(Cluster.query(1, "lookup", "", Body(I)));
      Answered += Code == "answered" ? 1 : 0;
      Condemned += Code == "condemned" ? 1 : 0;
    }
  });
  for (int I = 0; I < Sends; ++I)
    Cluster.query(0, "lookup", "", "poison");
  Caller.join();
  cr_assert(Condemned == 0);
  cr_assert(Answered == 100, "%d answered", Answered);
}
