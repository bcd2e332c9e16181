/// \file
/// One request id runs at most once over all VMs: real processes, real
/// failures.

#include "masticproxy/Harness"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <thread>

using namespace masticproxy;

namespace {

constexpr const char *Order =
    "wait = \"1s\"\ncoverage = 1.0\nmay_repeat = false\n";

bool inForce(test_cluster &Cluster, std::size_t Vm) {
  return Cluster.get(Cluster.callersAddress(Vm), "/v1/status").find("order") !=
         std::string::npos;
}

void startWithProfile(test_cluster &Cluster) {
  Cluster.startAll();
  Cluster.setProfile("order", Order);
  for (std::size_t Vm = 0; Vm < 2; ++Vm)
    cr_assert(Cluster.waitUntil([&] { return inForce(Cluster, Vm); }));
}

std::string codeOf(const std::optional<http_response> &Response) {
  if (!Response)
    return "none";
  return nlohmann::json::parse(Response->Body).value("code", "none");
}

std::string freshId(const std::string &Tail) {
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  return std::to_string(
             std::chrono::duration_cast<std::chrono::milliseconds>(Now)
                 .count()) +
         "-" + Tail;
}

/// How often each shard ran \p RequestId, over its replicas; the highest.
int runsOf(test_cluster &Cluster, const std::string &RequestId) {
  int Highest = 0;
  for (unsigned Shard = 0; Shard < 4; ++Shard) {
    int Runs = 0;
    for (unsigned Replica = 0; Replica < 3; ++Replica)
      Runs += nlohmann::json::parse(
                  Cluster.get(Cluster.upstreamAddress(Shard, Replica),
                              "/stub/runs"))
                  .value(RequestId, 0);
    Highest = std::max(Highest, Runs);
  }
  return Highest;
}

} // namespace

Test(at_most_once, the_same_id_does_not_run_again_through_any_vm) {
  test_cluster Cluster({.FirstPort = 22000});
  startWithProfile(Cluster);
  std::string Id = freshId("a");
  cr_assert(codeOf(Cluster.query(0, "order", Id)) == "answered");
  cr_assert(codeOf(Cluster.query(0, "order", Id)) == "outcome_unknown");
  cr_assert(codeOf(Cluster.query(1, "order", Id)) == "outcome_unknown");
  cr_assert(runsOf(Cluster, Id) == 1);
  cr_assert(codeOf(Cluster.query(0, "order")) == "answered");
  cr_assert(codeOf(Cluster.query(0, "order", "no-time")) == "bad_request");
  cr_assert(codeOf(Cluster.query(0, "order", "9000000000000-x")) ==
            "bad_request");
  cr_assert(codeOf(Cluster.query(0, "order", "1000000000000-x")) ==
            "outcome_unknown");
  cr_assert(runsOf(Cluster, "1000000000000-x") == 0);
}

Test(at_most_once, an_id_of_a_killed_vm_does_not_run_again) {
  test_cluster Cluster(
      {.FirstPort = 22100, .UpstreamOptions = {"--service-us", "300000"}});
  startWithProfile(Cluster);
  std::string Id = freshId("b");
  std::thread Caller([&] { Cluster.query(0, "order", Id); });
  bool Started = Cluster.waitUntil([&] { return runsOf(Cluster, Id) == 1; });
  Cluster.vm(0).signal(SIGKILL);
  Caller.join();
  cr_assert(Started);
  cr_assert(codeOf(Cluster.query(1, "order", Id)) == "outcome_unknown");
  Cluster.startVm(0);
  cr_assert(Cluster.waitUntil([&] { return inForce(Cluster, 0); }));
  cr_assert(codeOf(Cluster.query(0, "order", Id)) == "outcome_unknown");
  cr_assert(runsOf(Cluster, Id) == 1);
}

Test(at_most_once, a_platform_outage_is_refused_truthfully) {
  test_cluster Cluster({.FirstPort = 22200});
  startWithProfile(Cluster);
  Cluster.setFaults(Cluster.platformAddress(), "{\"down\":true}");
  std::string Id = freshId("c");
  cr_assert(codeOf(Cluster.query(0, "order", Id)) == "not_run");
  cr_assert(runsOf(Cluster, Id) == 0);
  Cluster.setFaults(Cluster.platformAddress(), "{\"down\":false}");
  cr_assert(codeOf(Cluster.query(1, "order", Id)) == "answered");
  cr_assert(runsOf(Cluster, Id) == 1);
}

Test(at_most_once, a_lost_answer_of_the_platform_costs_nothing) {
  test_cluster Cluster({.FirstPort = 22300});
  startWithProfile(Cluster);
  Cluster.setFaults(Cluster.platformAddress(), "{\"lose_write_answers\":2}");
  std::string Id = freshId("d");
  cr_assert(codeOf(Cluster.query(0, "order", Id)) == "answered");
  cr_assert(codeOf(Cluster.query(1, "order", Id)) == "outcome_unknown");
  cr_assert(runsOf(Cluster, Id) == 1);
}

Test(at_most_once, one_id_at_both_vms_at_once_runs_once) {
  test_cluster Cluster({.FirstPort = 22400});
  startWithProfile(Cluster);
  for (int I = 0; I < 20; ++I) {
    std::string Id = freshId("e" + std::to_string(I));
    std::string First;
    std::thread Caller([&] { First = codeOf(Cluster.query(0, "order", Id)); });
    std::string Second = codeOf(Cluster.query(1, "order", Id));
    Caller.join();
    cr_assert((First == "answered") != (Second == "answered"));
    cr_assert(runsOf(Cluster, Id) == 1);
  }
}

Test(at_most_once, a_request_that_no_upstream_took_may_be_sent_again) {
  test_cluster Cluster({.FirstPort = 22500});
  startWithProfile(Cluster);
  for (unsigned I = 0; I < 12; ++I)
    Cluster.setFaults(Cluster.upstreamAddress(I / 3, I % 3),
                      "{\"draining\":true}");
  std::string Id = freshId("f");
  cr_assert(codeOf(Cluster.query(0, "order", Id)) == "not_run");
  for (unsigned I = 0; I < 12; ++I)
    Cluster.setFaults(Cluster.upstreamAddress(I / 3, I % 3),
                      "{\"draining\":false}");
  cr_assert(codeOf(Cluster.query(1, "order", Id)) == "answered");
  cr_assert(runsOf(Cluster, Id) == 1);
}
