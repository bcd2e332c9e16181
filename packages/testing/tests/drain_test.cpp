/// \file
/// An upstream that leaves: one VM meets its refusal, all of them honour it.

#include "masticproxy/Harness"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>

using namespace masticproxy;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

namespace {

constexpr const char *Lookup =
    "wait = \"2s\"\ncoverage = 1.0\nmay_repeat = true\n";
constexpr std::size_t VmCount = 3;
/// What the operators are promised.
constexpr seconds Honoured{3};
/// Well before the VM that met the refusal asks the upstream again.
constexpr seconds LoadTime{4};
constexpr int LeastQueries = 50;

cluster_plan planAt(unsigned FirstPort) {
  cluster_plan Plan;
  Plan.FirstPort = FirstPort;
  Plan.VmDataCentres = {"dc1", "dc1", "dc1"};
  Plan.UpstreamOptions = {"--service-us", "2000"};
  return Plan;
}

void start(test_cluster &Cluster) {
  Cluster.startAll();
  Cluster.setProfile("lookup", Lookup);
  for (std::size_t Vm = 0; Vm < VmCount; ++Vm)
    cr_assert(Cluster.waitUntil([&] {
      std::string Status =
          Cluster.get(Cluster.callersAddress(Vm), "/v1/status");
      return Status.find("lookup") != std::string::npos;
    }));
}

unsigned refusedBy(test_cluster &Cluster, const std::string &Upstream) {
  return nlohmann::json::parse(Cluster.get(Upstream, "/stub/counts"))
      .value("queries_while_draining", 0U);
}

/// Sends \p Count requests one after the other. \returns how many were not
/// answered.
int failures(test_cluster &Cluster, std::size_t Vm, int Count) {
  int Failed = 0;
  for (int I = 0; I < Count; ++I) {
    auto Response = Cluster.query(Vm, "lookup");
    bool Answered =
        Response &&
        nlohmann::json::parse(Response->Body).value("code", "") == "answered";
    Failed += Answered ? 0 : 1;
  }
  return Failed;
}

/// Sends requests through the first VM until it has met the refusal.
void meetRefusal(test_cluster &Cluster, const std::string &Upstream) {
  int Failed = 0;
  cr_assert(Cluster.waitUntil([&] {
    Failed += failures(Cluster, 0, 1);
    return refusedBy(Cluster, Upstream) > 0;
  }));
  cr_assert(Failed == 0, "%d failed", Failed);
}

} // namespace

Test(drain, seen_by_one_vm_is_honoured_by_the_others_after_three_seconds) {
  test_cluster Cluster(planAt(27100));
  start(Cluster);
  std::string Upstream = Cluster.upstreamAddress(0, 0);
  Cluster.setFaults(Upstream, R"({"draining": true})");
  meetRefusal(Cluster, Upstream);
  std::string Timeline;
  cr_assert(Cluster.waitUntil([&] {
    Timeline = Cluster.get(Cluster.callersAddress(0), "/v1/timeline");
    return Timeline.find("upstream_draining") != std::string::npos;
  }));
  std::this_thread::sleep_for(Honoured);
  unsigned Before = refusedBy(Cluster, Upstream);
  int Failed = 0;
  int Sent = 0;
  for (auto End = steady_clock::now() + LoadTime; steady_clock::now() < End;
       ++Sent)
    Failed += failures(Cluster, 1 + Sent % 2, 1);
  unsigned Later = refusedBy(Cluster, Upstream) - Before;
  cr_assert(Later == 0, "%u requests to the draining upstream", Later);
  cr_assert(Failed == 0, "%d of %d failed", Failed, Sent);
  cr_assert(Sent >= LeastQueries, "%d sent", Sent);
}

Test(drain, an_upstream_that_is_back_gets_work_of_every_vm) {
  test_cluster Cluster(planAt(27200));
  start(Cluster);
  std::string Upstream = Cluster.upstreamAddress(0, 0);
  Cluster.setFaults(Upstream, R"({"draining": true})");
  meetRefusal(Cluster, Upstream);
  Cluster.setFaults(Upstream, R"({"draining": false})");
  auto Served = [&] {
    return nlohmann::json::parse(Cluster.get(Upstream, "/stub/counts"))
        .value("served", 0U);
  };
  int Failed = 0;
  for (std::size_t Vm : {1, 2}) {
    unsigned Before = Served();
    // The notices' span and what VMs wait longer that were only told.
    bool Back = Cluster.waitUntil(
        [&] {
          Failed += failures(Cluster, Vm, 1);
          return Served() > Before;
        },
        seconds(20));
    cr_assert(Back, "no work from VM %zu", Vm);
  }
  cr_assert(Failed == 0, "%d failed", Failed);
}
