/// \file
/// A newcomer changes a profile's wait and sees the effect: before and after,
/// from all VMs, and which VM told nothing.

#include "masticproxy/Harness"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <csignal>

using namespace masticproxy;

namespace {

constexpr const char *Long =
    "wait = \"3s\"\ncoverage = 1.0\nmay_repeat = true\n";
constexpr const char *Short =
    "wait = \"1ms\"\ncoverage = 1.0\nmay_repeat = true\n";
constexpr int QueriesBefore = 20;
constexpr int QueriesAfter = 12;

/// Upstreams take far longer than the short wait.
cluster_plan slowUpstreams(unsigned FirstPort) {
  return {.FirstPort = FirstPort,
          .UpstreamOptions = {"--service-us", "20000", "--slots", "16"}};
}

std::uint64_t versionOn(test_cluster &Cluster, std::size_t Vm) {
  std::string Text = Cluster.get(Cluster.callersAddress(Vm), "/v1/status");
  nlohmann::json Status = nlohmann::json::parse(Text, nullptr, false);
  if (Status.is_object())
    for (const nlohmann::json &Object : Status["objects"])
      if (Object["name"] == "lookup")
        return Object["version"].get<std::uint64_t>();
  return 0;
}

/// Writes the profile and waits until both VMs have it in force.
void edit(test_cluster &Cluster, const std::string &Text) {
  std::uint64_t Before = versionOn(Cluster, 0);
  Cluster.setProfile("lookup", Text);
  cr_assert(Cluster.waitUntil([&] {
    return versionOn(Cluster, 0) > Before &&
           versionOn(Cluster, 1) == versionOn(Cluster, 0);
  }));
}

void query(test_cluster &Cluster, int Count) {
  for (int I = 0; I < Count; ++I)
    cr_assert(Cluster.query(static_cast<std::size_t>(I % 2), "lookup"));
}

std::string bothVms(test_cluster &Cluster) {
  return Cluster.callersAddress(0) + "," + Cluster.callersAddress(1);
}

nlohmann::json effect(test_cluster &Cluster) {
  std::string Output;
  int Exit = Cluster.ctl(
      {"profile", "effect", "lookup", "--json", "--vm", bothVms(Cluster)},
      Output);
  cr_assert(Exit == 0, "%s", Output.c_str());
  return nlohmann::json::parse(Output);
}

} // namespace

Test(effect, of_a_shorter_wait_is_seen_before_and_after) {
  test_cluster Cluster(slowUpstreams(26700));
  Cluster.startAll();
  edit(Cluster, Long);
  query(Cluster, QueriesBefore);
  edit(Cluster, Short);
  query(Cluster, QueriesAfter);
  nlohmann::json Effect = effect(Cluster);
  std::string All = Effect.dump();
  const nlohmann::json &Before = Effect["before"];
  const nlohmann::json &After = Effect["after"];
  cr_assert(Before["outcomes"]["answered"] == QueriesBefore, "%s", All.c_str());
  cr_assert(Before["requests"] == QueriesBefore, "%s", All.c_str());
  cr_assert(Before["p50_ms"] >= 20.0 && Before["mean_coverage"] == 1.0, "%s",
            All.c_str());
  cr_assert(Before["attempts_per_shard"] >= 1.0, "%s", All.c_str());
  cr_assert(After["requests"] == QueriesAfter, "%s", All.c_str());
  cr_assert(After["mean_coverage"].is_null() || After["mean_coverage"] < 1.0,
            "%s", All.c_str());
  cr_assert_not(After["outcomes"].contains("answered"), "%s", All.c_str());
  cr_assert(Effect["differences"].size() == 1, "%s", All.c_str());
  cr_assert(Effect["differences"][0]["after"] == "1ms", "%s", All.c_str());
  for (const nlohmann::json &Vm : Effect["vms"])
    cr_assert(Vm["in_force_since_us"].is_number(), "%s", All.c_str());
}

Test(effect, with_one_vm_stopped_says_which_and_shows_the_other) {
  test_cluster Cluster(slowUpstreams(26800));
  Cluster.startAll();
  edit(Cluster, Long);
  query(Cluster, QueriesBefore);
  edit(Cluster, Short);
  Cluster.vm(1).signal(SIGKILL);
  cr_assert(Cluster.vm(1).waitForExit(std::chrono::seconds(10)));
  std::string Output;
  int Exit = Cluster.ctl(
      {"profile", "effect", "lookup", "--vm", bothVms(Cluster)}, Output);
  cr_assert(Exit == 1);
  std::string Unknown = "nothing known from: " + Cluster.callersAddress(1);
  cr_assert(Output.find(Unknown + "\n") != std::string::npos, "%s",
            Output.c_str());
  cr_assert(Output.find("wait: 3000ms -> 1ms") != std::string::npos, "%s",
            Output.c_str());
  cr_assert(Output.find("since 20") != std::string::npos, "%s", Output.c_str());
  Exit = Cluster.ctl(
      {"profile", "history", "lookup", "--vm", Cluster.callersAddress(0)},
      Output);
  cr_assert(Exit == 0 && Output.find("wait: 3000ms") != std::string::npos, "%s",
            Output.c_str());
  Exit = Cluster.ctl(
      {"profile", "diff", "lookup", "--vm", Cluster.callersAddress(0)}, Output);
  cr_assert(Exit == 0 &&
                Output.find("wait: 3000ms -> 1ms") != std::string::npos,
            "%s", Output.c_str());
}
