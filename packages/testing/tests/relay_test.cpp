/// \file
/// Shards whose replicas stand in another data centre, through real processes.

#include "masticproxy/Harness"
#include "masticproxy/Net"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

using namespace masticproxy;
using std::chrono::milliseconds;

namespace {

constexpr const char *Whole = "wait = \"2s\"\nmay_repeat = true\n";
constexpr const char *Half =
    "wait = \"1s\"\ncoverage = 0.5\nmay_repeat = true\n";
constexpr const char *Once = "wait = \"2s\"\nmay_repeat = false\n";

/// What a query gave, and how long it took.
struct timed_answer {
  std::string Code = "none";
  unsigned Answered = 0;
  milliseconds Took{0};
  std::string Body;
};

std::string describe(const timed_answer &Answer) {
  return Answer.Code + " after " + std::to_string(Answer.Took.count()) +
         " ms: " + Answer.Body;
}

timed_answer ask(test_cluster &Cluster, const std::string &Profile,
                 const std::string &RequestId = "") {
  timed_answer Answer;
  auto Start = std::chrono::steady_clock::now();
  auto Response = Cluster.query(0, Profile, RequestId);
  Answer.Took = std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now() - Start);
  if (!Response)
    return Answer;
  Answer.Body = Response->Body;
  auto Root = nlohmann::json::parse(Response->Body);
  Answer.Code = Root.value("code", "none");
  if (Root.contains("coverage"))
    Answer.Answered = Root["coverage"]["answered"];
  return Answer;
}

/// Waits until the first VM answers under \p Profile with \p Shards shards.
bool answersFrom(test_cluster &Cluster, const std::string &Profile,
                 unsigned Shards) {
  return Cluster.waitUntil(
      [&] { return ask(Cluster, Profile).Answered == Shards; });
}

/// How often \p RequestId ran on the shard's replicas.
int runsOf(test_cluster &Cluster, unsigned Shard,
           const std::string &RequestId) {
  auto Runs = nlohmann::json::parse(
      Cluster.get(Cluster.upstreamAddress(Shard, 0), "/stub/runs"));
  return Runs.value(RequestId, 0);
}

/// Puts the last two of four shards into the other data centre.
void splitShards(test_cluster &Cluster, unsigned FirstPort) {
  nlohmann::json Shards = nlohmann::json::array();
  for (unsigned S = 0; S < 4; ++S)
    Shards.push_back({{"id", std::to_string(S)},
                      {"replicas",
                       {{{"address", Cluster.upstreamAddress(S, 0)},
                         {"data_centre", S < 2 ? "dc1" : "dc2"},
                         {"slots", 3},
                         {"connections", 65}}}}});
  auto File = std::filesystem::temp_directory_path() /
              ("masticproxy-split-" + std::to_string(FirstPort) + ".json");
  std::ofstream(File) << nlohmann::json(
      {{"snapshot", "split"}, {"shards", Shards}});
  std::string Output;
  cr_assert(Cluster.ctl({"index", "apply", "index", File.string()}, Output) ==
            0);
  std::filesystem::remove(File);
}

/// The id of the request that must not run twice; such ids carry their time.
const std::string &onceId() {
  static const std::string Id =
      std::to_string(os_clock().wallTime().count() / 1000) + "-once";
  return Id;
}

} // namespace

Test(relay, a_shard_without_a_local_replica_is_covered_and_runs_once) {
  test_cluster Cluster({.FirstPort = 24000,
                        .VmDataCentres = {"dc1", "dc2", "dc2"},
                        .Replicas = 1,
                        .ReplicaDataCentres = "dc2"});
  Cluster.startAll();
  Cluster.setProfile("once", Once);
  cr_assert(answersFrom(Cluster, "once", 4));
  cr_assert(ask(Cluster, "once", onceId()).Code == "answered");
  for (unsigned S = 0; S < 4; ++S)
    cr_assert(runsOf(Cluster, S, onceId()) == 1);

  std::string Output;
  std::string Vms = Cluster.callersAddress(0) + "," +
                    Cluster.callersAddress(1) + "," + Cluster.callersAddress(2);
  Cluster.ctl({"timeline", "--vm", Vms, "--request", onceId()}, Output);
  std::size_t Position = 0;
  for (const char *Kind :
       {"query_arrived", "relay_sent", "relay_arrived", "attempt_sent",
        "relay_answered", "relay_result", "outcome"}) {
    Position = Output.find(Kind, Position);
    cr_assert(Position != std::string::npos, "no %s in order:\n%s", Kind,
              Output.c_str());
  }
}

Test(relay, a_killed_vm_costs_no_coverage_and_no_second_run) {
  test_cluster Cluster({.FirstPort = 24100,
                        .VmDataCentres = {"dc1", "dc2", "dc2"},
                        .Shards = 8,
                        .Replicas = 1,
                        .ReplicaDataCentres = "dc2",
                        .UpstreamOptions = {"--service-us", "100000"}});
  Cluster.startAll();
  Cluster.setProfile("whole", Whole);
  Cluster.setProfile("once", Once);
  cr_assert(answersFrom(Cluster, "whole", 8));
  cr_assert(answersFrom(Cluster, "once", 8));
  timed_answer Repeated;
  timed_answer NotRepeated;
  {
    std::thread First([&] { Repeated = ask(Cluster, "whole", "r-whole"); });
    std::thread Second([&] { NotRepeated = ask(Cluster, "once", onceId()); });
    std::this_thread::sleep_for(milliseconds(30));
    Cluster.vm(1).signal(SIGKILL);
    First.join();
    Second.join();
  }
  cr_assert(Repeated.Code == "answered" && Repeated.Answered == 8);
  cr_assert(NotRepeated.Code == "answered" ||
            NotRepeated.Code == "outcome_unknown");
  for (unsigned S = 0; S < 8; ++S)
    cr_assert(runsOf(Cluster, S, onceId()) <= 1);
}

Test(relay, a_cut_off_data_centre_leaves_true_coverage_within_the_wait) {
  test_cluster Cluster(
      {.FirstPort = 24200, .VmDataCentres = {"dc1", "dc2"}, .Replicas = 1});
  Cluster.startAll();
  splitShards(Cluster, 24200);
  Cluster.setProfile("whole", Whole);
  Cluster.setProfile("half", Half);
  Cluster.setProfile("once", Once);
  cr_assert(Cluster.waitUntil([&] {
    return ask(Cluster, "once").Answered == 4 &&
           ask(Cluster, "half").Answered == 4 &&
           ask(Cluster, "whole").Answered == 4;
  }));
  Cluster.vm(1).signal(SIGSTOP);
  timed_answer Answer = ask(Cluster, "half");
  cr_assert(Answer.Code == "answered" && Answer.Answered == 2, "%s",
            describe(Answer).c_str());
  cr_assert(Answer.Took < milliseconds(1300));
  Answer = ask(Cluster, "whole");
  cr_assert(Answer.Code == "too_late" && Answer.Answered == 2, "%s",
            describe(Answer).c_str());
  cr_assert(Answer.Took < milliseconds(2300));
  cr_assert(ask(Cluster, "once", onceId()).Code == "outcome_unknown");
  Cluster.vm(1).signal(SIGCONT);
  cr_assert(
      Cluster.waitUntil([&] { return ask(Cluster, "whole").Answered == 4; },
                        std::chrono::seconds(20)));
  for (unsigned S = 0; S < 4; ++S)
    cr_assert(runsOf(Cluster, S, onceId()) <= 1);
}
