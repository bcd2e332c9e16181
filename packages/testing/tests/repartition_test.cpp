/// \file
/// An index that is repartitioned under load, through real processes: every
/// answer comes from one snapshot, no shard counts twice, coverage is true.

#include "masticproxy/Harness"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <array>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

using namespace masticproxy;
using std::chrono::milliseconds;

namespace {

constexpr unsigned Callers = 4;
constexpr milliseconds LoadBetweenSteps{300};
constexpr const char *Whole = "wait = \"5s\"\nmay_repeat = true\n";

/// The same 16 upstreams hold 4 shards of 4 replicas each in snapshot s1, and
/// 8 shards of 2 in s2.
constexpr unsigned OldShards = 4;
constexpr unsigned OldReplicas = 4;
constexpr unsigned NewShards = 8;
constexpr unsigned NewReplicas = 2;

cluster_plan planAt(unsigned FirstPort) {
  return {.FirstPort = FirstPort,
          .Shards = OldShards,
          .Replicas = OldReplicas,
          .UpstreamOptions = {"--service-us", "20000"}};
}

/// \returns the address of an upstream, counted over all of s1's shards.
std::string upstreamAt(const test_cluster &Cluster, unsigned Number) {
  return Cluster.upstreamAddress(Number / OldReplicas, Number % OldReplicas);
}

std::string newMap(const test_cluster &Cluster) {
  auto Shards = nlohmann::json::array();
  for (unsigned S = 0; S < NewShards; ++S) {
    auto Replicas = nlohmann::json::array();
    for (unsigned R = 0; R < NewReplicas; ++R)
      Replicas.push_back({{"address", upstreamAt(Cluster, S * NewReplicas + R)},
                          {"data_centre", "dc1"},
                          {"slots", 3},
                          {"connections", 65}});
    Shards.push_back({{"id", std::to_string(S)}, {"replicas", Replicas}});
  }
  return nlohmann::json({{"snapshot", "s2"}, {"shards", Shards}}).dump();
}

void setEachUpstream(test_cluster &Cluster, const nlohmann::json &Faults) {
  for (unsigned I = 0; I < OldShards * OldReplicas; ++I)
    Cluster.setFaults(upstreamAt(Cluster, I), Faults.dump());
}

void repartition(test_cluster &Cluster) {
  std::string Output;
  std::string File = Cluster.makeFile("s2.json", newMap(Cluster));
  cr_assert(Cluster.ctl({"index", "apply", "index", File}, Output) == 0, "%s",
            Output.c_str());
}

/// \returns what is wrong with an answer, or "".
std::string faultOf(const nlohmann::json &Answer) {
  if (Answer.value("code", "") != "answered")
    return Answer.dump();
  std::string Snapshot = Answer["snapshot"];
  unsigned Shards = Snapshot == "s1" ? OldShards : NewShards;
  std::set<std::string> Seen;
  for (const auto &Result : Answer["results"]) {
    if (Result["body"]["snapshot"] != Snapshot)
      return "a result of another snapshot";
    if (Result["body"]["shard"] != Result["shard"])
      return "a result of another shard";
    if (std::stoul(Result["shard"].get<std::string>()) >= Shards)
      return "a shard that the snapshot lacks";
    if (!Seen.insert(Result["shard"]).second)
      return "a shard counted twice";
  }
  const auto &Coverage = Answer["coverage"];
  if (Coverage["asked"] != Shards || Coverage["answered"] != Seen.size())
    return "an untrue coverage";
  return Seen.size() == Shards ? "" : "a shard is missing";
}

/// Answers by snapshot, and the faults that were found.
struct load_tally {
  std::map<std::string, unsigned> Answers;
  std::vector<std::string> Faults;
};

/// Callers that send queries to both VMs, one after the other, until stopped.
class query_load {
public:
  explicit query_load(test_cluster &Cluster) : Cluster(Cluster) {
    for (unsigned I = 0; I < Callers; ++I)
      Threads[I] = std::jthread(
          [this, I](const std::stop_token &Stop) { call(Stop, I % 2); });
  }

  load_tally stop() {
    for (std::jthread &Thread : Threads)
      Thread.request_stop();
    for (std::jthread &Thread : Threads)
      Thread.join();
    return Tally;
  }

  unsigned answersFrom(const std::string &Snapshot) {
    std::scoped_lock Lock(Mutex);
    return Tally.Answers[Snapshot];
  }

private:
  void call(const std::stop_token &Stop, std::size_t Vm) {
    while (!Stop.stop_requested()) {
      auto Response = Cluster.query(Vm, "whole");
      auto Answer = Response ? nlohmann::json::parse(Response->Body)
                             : nlohmann::json::object();
      std::string Fault = faultOf(Answer);
      std::scoped_lock Lock(Mutex);
      if (Fault.empty())
        ++Tally.Answers[Answer["snapshot"]];
      else
        Tally.Faults.push_back(Fault);
    }
  }

  test_cluster &Cluster;
  std::mutex Mutex;
  load_tally Tally;
  std::array<std::jthread, Callers> Threads;
};

void startOnOldSnapshot(test_cluster &Cluster) {
  Cluster.startAll();
  Cluster.setProfile("whole", Whole);
  for (std::size_t Vm : {0U, 1U})
    cr_assert(Cluster.waitUntil([&] {
      auto Response = Cluster.query(Vm, "whole");
      return Response && Response->Status == 200;
    }));
}

/// Waits until enough answers come from s2 that each caller had several.
bool movesOn(test_cluster &Cluster, query_load &Load) {
  constexpr unsigned Enough = 10 * Callers;
  return Cluster.waitUntil([&] { return Load.answersFrom("s2") > Enough; });
}

void checkTally(const load_tally &Tally) {
  cr_assert(Tally.Faults.empty(), "%zu faults, first: %s", Tally.Faults.size(),
            Tally.Faults.empty() ? "" : Tally.Faults.front().c_str());
  cr_assert(Tally.Answers.size() == 2);
}

} // namespace

Test(repartition, under_load_every_answer_is_of_one_snapshot) {
  test_cluster Cluster(planAt(26900));
  startOnOldSnapshot(Cluster);
  query_load Load(Cluster);
  std::this_thread::sleep_for(LoadBetweenSteps);
  repartition(Cluster);
  cr_assert(movesOn(Cluster, Load));
  setEachUpstream(Cluster, {{"snapshots", {"s2"}}});
  std::this_thread::sleep_for(LoadBetweenSteps);
  checkTally(Load.stop());
}

Test(repartition, a_snapshot_retired_in_mid_query_starts_it_over) {
  test_cluster Cluster(planAt(27000));
  startOnOldSnapshot(Cluster);
  query_load Load(Cluster);
  std::this_thread::sleep_for(LoadBetweenSteps);
  // No upstream holds s1 any more before the VMs hear of s2.
  setEachUpstream(Cluster, {{"snapshots", {"s2"}}});
  std::this_thread::sleep_for(LoadBetweenSteps);
  repartition(Cluster);
  cr_assert(movesOn(Cluster, Load));
  checkTally(Load.stop());
}

Test(repartition, the_proof_catches_results_of_another_snapshot) {
  // A small cluster, in the ports that the one before leaves free.
  cluster_plan Plan = planAt(27057);
  Plan.Shards = 3;
  Plan.Replicas = 1;
  test_cluster Cluster(Plan);
  startOnOldSnapshot(Cluster);
  Cluster.setFaults(Cluster.upstreamAddress(0, 0), "{\"results_of\":\"s2\"}");
  query_load Load(Cluster);
  std::this_thread::sleep_for(LoadBetweenSteps);
  load_tally Tally = Load.stop();
  cr_assert(not Tally.Faults.empty());
  cr_assert(Tally.Faults.front() == "a result of another snapshot");
}
