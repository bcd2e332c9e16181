/// \file
/// A flood under one profile, and a caller in a hurry under another, through
/// real processes.

#include "masticproxy/Harness"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <thread>

using namespace masticproxy;

namespace {

constexpr int FloodCallers = 100;
constexpr int Lookups = 10;

std::string ask(test_cluster &Cluster, const std::string &Profile) {
  auto Response = Cluster.query(0, Profile);
  if (!Response)
    return "none";
  return nlohmann::json::parse(Response->Body).value("code", "none");
}

} // namespace

Test(admission_process, a_flood_does_not_starve_another_profile) {
  test_cluster Cluster({.FirstPort = 24300,
                        .VmDataCentres = {"dc1"},
                        .Shards = 1,
                        .Replicas = 1,
                        .UpstreamOptions = {"--service-us", "30000"}});
  Cluster.startAll();
  Cluster.setProfile("flood", "wait = \"3s\"\nmay_repeat = true\n");
  Cluster.setProfile("counter", "wait = \"700ms\"\nmay_repeat = true\n");
  cr_assert(Cluster.waitUntil([&] {
    return ask(Cluster, "flood") == "answered" &&
           ask(Cluster, "counter") == "answered";
  }));
  std::atomic<bool> Over{false};
  std::atomic<int> FloodAnswered{0};
  int Answered = 0;
  {
    std::vector<std::thread> Callers;
    Callers.reserve(FloodCallers);
    for (int I = 0; I < FloodCallers; ++I)
      Callers.emplace_back([&] {
        while (!Over.load())
          FloodAnswered += ask(Cluster, "flood") == "answered" ? 1 : 0;
      });
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    for (int I = 0; I < Lookups; ++I)
      Answered += ask(Cluster, "counter") == "answered" ? 1 : 0;
    Over.store(true);
    for (std::thread &Caller : Callers)
      Caller.join();
  }
  cr_assert(Answered >= Lookups * 8 / 10, "%d of %d lookups", Answered,
            Lookups);
  cr_assert(FloodAnswered.load() > 0);
}
