/// \file
/// The whole path through real processes, with real failures.

#include "masticproxy/Harness"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <thread>

using namespace masticproxy;

namespace {

constexpr const char *Lookup =
    "wait = \"2s\"\ncoverage = 1.0\nmay_repeat = true\n";

bool inForce(test_cluster &Cluster, std::size_t Vm, const std::string &Name) {
  auto Root = nlohmann::json::parse(
      Cluster.get(Cluster.callersAddress(Vm), "/v1/status"), nullptr,
      /*allow_exceptions=*/false);
  if (!Root.is_object())
    return false;
  for (const auto &Object : Root["objects"])
    if (Object["name"] == Name)
      return true;
  return false;
}

std::string codeOf(const std::optional<http_response> &Response) {
  if (!Response)
    return "none";
  return nlohmann::json::parse(Response->Body).value("code", "none");
}

} // namespace

Test(whole_path, answers_from_every_shard_and_names_refusals) {
  test_cluster Cluster({.FirstPort = 20000});
  Cluster.startAll();
  Cluster.setProfile("lookup", Lookup);
  cr_assert(Cluster.waitUntil([&] { return inForce(Cluster, 1, "lookup"); }));
  auto Response = Cluster.query(1, "lookup", "r-1");
  cr_assert(Response.has_value());
  auto Root = nlohmann::json::parse(Response->Body);
  cr_assert(Root["code"] == "answered");
  cr_assert(Root["request_id"] == "r-1");
  cr_assert(Root["coverage"]["answered"] == 4);
  cr_assert(Root["results"].size() == 4);
  cr_assert(codeOf(Cluster.query(1, "nothing")) == "unknown_profile");
  cr_assert(codeOf(Cluster.query(1, "lookup", "bad id")) == "bad_request");
  auto Long = Cluster.query(1, "lookup", "", std::string(100000, 'x'));
  cr_assert(Long && Long->Status == 413);
}

Test(whole_path, a_killed_upstream_costs_no_coverage) {
  test_cluster Cluster({.FirstPort = 20100});
  Cluster.startAll();
  Cluster.setProfile("lookup", Lookup);
  cr_assert(Cluster.waitUntil([&] { return inForce(Cluster, 0, "lookup"); }));
  for (int I = 0; I < 20; ++I) {
    if (I % 5 == 0)
      Cluster.setFaults(Cluster.upstreamAddress(I / 5, 0), "{\"die\":true}");
    cr_assert(codeOf(Cluster.query(0, "lookup")) == "answered");
  }
}

Test(whole_path, sigterm_cuts_no_request) {
  test_cluster Cluster(
      {.FirstPort = 20200, .UpstreamOptions = {"--service-us", "20000"}});
  Cluster.startAll();
  Cluster.setProfile("lookup", Lookup);
  cr_assert(Cluster.waitUntil([&] { return inForce(Cluster, 0, "lookup"); }));
  int Answered = 0;
  {
    std::thread Caller([&] {
      for (int I = 0; I < 10; ++I)
        Answered += codeOf(Cluster.query(0, "lookup")) == "answered" ? 1 : 0;
    });
    Cluster.vm(0).signal(SIGTERM);
    Caller.join();
  }
  cr_assert(Answered > 0);
  auto Exit = Cluster.vm(0).waitForExit(std::chrono::seconds(15));
  cr_assert(Exit == 0);
}

Test(whole_path, a_new_vm_learns_from_peers_while_the_platform_is_down) {
  test_cluster Cluster({.FirstPort = 20300});
  Cluster.startSurroundings();
  Cluster.setProfile("lookup", Lookup);
  Cluster.startVm(0);
  cr_assert(Cluster.waitUntil([&] { return inForce(Cluster, 0, "lookup"); }));
  // The VM list was read by the first; the second hears of it by heartbeat.
  Cluster.setFaults(Cluster.platformAddress(), "{\"down\":true}");
  Cluster.startVm(1);
  cr_assert(Cluster.waitUntil([&] { return inForce(Cluster, 1, "lookup"); }));
  cr_assert(codeOf(Cluster.query(1, "lookup")) == "answered");
}
