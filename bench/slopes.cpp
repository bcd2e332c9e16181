/// \file
/// masticproxy_slopes: what one more member, shard, request or event costs, as
/// JSON on standard output. docs/CAPACITY.md is worked out from it.

#include "masticproxy/Cluster"
#include "masticproxy/Net"
#include "masticproxy/Query"
#include "masticproxy/Settings"
#include "masticproxy/Wire"

#include <nlohmann/json.hpp>

#include <malloc.h>

#include <chrono>
#include <iostream>
#include <vector>

using namespace masticproxy;

namespace {

constexpr int Repeats = 200;
constexpr unsigned HeartbeatIntervals = 160;
constexpr std::size_t Shards = 160;
constexpr std::size_t ReplicasOfShard = 3;

/// Processor time of \p Work in nanoseconds, the least of some tries.
template <typename Function> double nanoseconds(Function Work) {
  double Best = 0;
  for (int Try = 0; Try < 5; ++Try) {
    timespec Before{};
    timespec After{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Before);
    for (int I = 0; I < Repeats; ++I)
      Work();
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &After);
    double Spent = static_cast<double>(After.tv_sec - Before.tv_sec) * 1e9 +
                   static_cast<double>(After.tv_nsec - Before.tv_nsec);
    if (Try == 0 || Spent < Best)
      Best = Spent;
  }
  return Best / Repeats;
}

double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

member_info makeMember(std::size_t Number) {
  member_info Member;
  Member.Name = "vm-" + std::to_string(1000 + Number);
  Member.DataCentre = "region-1-dc-1";
  Member.PeerAddress = "10.11.12." + std::to_string(Number % 250) + ":8201";
  Member.Incarnation = 1796377452359434;
  return Member;
}

/// What one of \p Count VMs sends to peers that all hear each other: frames a
/// second, the mean size of one, and the time it takes.
nlohmann::json measureHeartbeat(std::size_t Count) {
  os_clock Clock;
  membership Members(Clock, makeMember(0),
                     {std::chrono::hours(1), std::chrono::hours(3)});
  // The first round makes the members known, the second gives their digest.
  for (unsigned Round = 1; Round <= 2; ++Round)
    for (std::size_t I = 1; I < Count; ++I) {
      heartbeat Heartbeat;
      Heartbeat.Sender = makeMember(I);
      Heartbeat.Sequence = Round;
      Heartbeat.Receiver.Incarnation = makeMember(0).Incarnation;
      Heartbeat.MembersDigest = Members.digest();
      Members.onHeartbeat(Heartbeat);
    }
  std::vector<std::string> Payloads;
  std::size_t Bytes = 0;
  for (unsigned I = 0; I < HeartbeatIntervals; ++I)
    for (const member_info &Peer : Members.receivers()) {
      heartbeat Heartbeat = Members.makeHeartbeat(Peer);
      Heartbeat.Receiver.Counted = true;
      Heartbeat.ConfigurationRevision = Peer.Incarnation;
      Heartbeat.ConfigurationDigest = ~Peer.Incarnation;
      Payloads.push_back(encodePeerMessage(peer_message(Heartbeat), {}));
      Bytes += makeFrame(Payloads.back()).size();
    }
  member_info Peer = Members.peers().front();
  double PerInterval =
      static_cast<double>(Payloads.size()) / HeartbeatIntervals;
  return {
      {"members", Count},
      {"frames_per_interval", PerInterval},
      {"frame_bytes",
       static_cast<double>(Bytes) / static_cast<double>(Payloads.size())},
      {"encode_ns", nanoseconds([&] {
         encodePeerMessage(peer_message(Members.makeHeartbeat(Peer)), {});
       })},
      {"decode_ns", nanoseconds([&] { decodePeerFrame(Payloads.front()); })}};
}

std::string makeMapText(std::size_t ShardCount) {
  nlohmann::json List = nlohmann::json::array();
  for (std::size_t S = 0; S < ShardCount; ++S) {
    nlohmann::json Replicas = nlohmann::json::array();
    for (std::size_t R = 0; R < ReplicasOfShard; ++R)
      Replicas.push_back({{"address", "10.1." + std::to_string(S) + "." +
                                          std::to_string(R) + ":9000"},
                          {"data_centre", "dc"},
                          {"slots", 3},
                          {"connections", 65}});
    List.push_back({{"id", std::to_string(S)}, {"replicas", Replicas}});
  }
  return nlohmann::json({{"snapshot", "s1"}, {"shards", List}}).dump();
}

nlohmann::json measureIndexMap(std::size_t ShardCount) {
  std::string Text = makeMapText(ShardCount);
  double Before = heapBytes();
  index_map Map = readIndexMap(Text, "index");
  double Held = heapBytes() - Before;
  return {{"shards", ShardCount},
          {"text_bytes", Text.size()},
          {"held_bytes", Held},
          {"read_ns", nanoseconds([&] { readIndexMap(Text, "index"); })}};
}

nlohmann::json measureCatalogue(std::size_t Profiles) {
  query_catalogue Catalogue;
  configuration_table Table;
  std::string Text = "wait = \"300ms\"\ncoverage = 0.99\nmay_repeat = true\n";
  double Before = heapBytes();
  for (std::size_t I = 0; I < Profiles; ++I) {
    std::string Name = "profile-" + std::to_string(I);
    Catalogue.setProfile(readProfile(Text, Name));
    Table.apply({"profile", Name, I + 1, false, Text});
  }
  double Held = heapBytes() - Before;
  auto Change = [&] {
    query_catalogue Next = Catalogue;
    Next.setProfile(readProfile(Text, "profile-0"));
  };
  return {{"profiles", Profiles},
          {"held_bytes", Held},
          {"change_ns", nanoseconds(Change)}};
}

std::vector<send_attempt> attemptsIn(std::vector<engine_command> Commands) {
  std::vector<send_attempt> Attempts;
  for (engine_command &Command : Commands)
    if (auto *Attempt = std::get_if<send_attempt>(&Command))
      Attempts.push_back(std::move(*Attempt));
  return Attempts;
}

/// An engine under way with one index of 160 shards.
struct engine_bench {
  explicit engine_bench(std::size_t Connections)
      : Engine(Clock, {100000, "dc"}) {
    auto Map = std::make_shared<index_snapshot>();
    Map->Id = "s1";
    for (std::size_t S = 0; S < Shards; ++S) {
      shard Shard;
      Shard.Id = std::to_string(S);
      for (std::size_t R = 0; R < ReplicasOfShard; ++R)
        Shard.Replicas.push_back(
            {"10.1." + std::to_string(S) + "." + std::to_string(R) + ":9000",
             "dc", 3, static_cast<unsigned>(Connections)});
      Map->Shards.push_back(std::move(Shard));
    }
    auto Catalogue = std::make_shared<query_catalogue>();
    Catalogue->setProfile({"p", std::chrono::seconds(300), 1.0, true});
    Catalogue->setIndex({"i", Map});
    Engine.handle(catalogue_changed{Catalogue});
  }

  std::vector<send_attempt> arrive() {
    return attemptsIn(
        Engine.handle(query_arrived{++Ticket, "request", "p", "i", "{}"}));
  }

  void answerAll(const std::vector<send_attempt> &Attempts) {
    for (const send_attempt &Attempt : Attempts)
      Engine.handle(attempt_answered{Attempt.Attempt,
                                     {Attempt.RequestId, Attempt.Snapshot,
                                      Attempt.Shard, "{\"hits\":[]}"}});
  }

  os_clock Clock;
  query_engine Engine;
  query_ticket Ticket = 0;
};

nlohmann::json measureEngine() {
  engine_bench Bench(100000);
  double PerQuery = nanoseconds([&] { Bench.answerAll(Bench.arrive()); });
  constexpr std::size_t UnderWay = 200;
  std::vector<std::vector<send_attempt>> Held;
  Held.reserve(UnderWay);
  double Before = heapBytes();
  for (std::size_t I = 0; I < UnderWay; ++I)
    Bench.arrive();
  double PerRun = (heapBytes() - Before) / static_cast<double>(UnderWay);
  return {{"shards", Shards},
          {"ns_per_sub_request", PerQuery / static_cast<double>(Shards)},
          {"bytes_per_query_under_way", PerRun}};
}

nlohmann::json measureTimeline() {
  os_clock Clock;
  hybrid_clock Hybrid(Clock);
  constexpr std::size_t Events = 20000;
  double Before = heapBytes();
  event_log Log(Hybrid, Events);
  auto Add = [&Log] {
    Log.add("attempt_sent", "0b2c7f0e-6d2f-4a0e-9f56-1fd2ac1f9d2b",
            "159 to 10.1.159.2:9000");
  };
  for (std::size_t I = 0; I < Events; ++I)
    Add();
  double Held = heapBytes() - Before;
  return {{"bytes_per_event", Held / static_cast<double>(Events)},
          {"ns_per_event", nanoseconds(Add)}};
}

} // namespace

int main() {
  nlohmann::json Root = {
      {"heartbeat", {measureHeartbeat(10), measureHeartbeat(40)}},
      {"index_map", {measureIndexMap(10), measureIndexMap(160)}},
      {"catalogue", {measureCatalogue(10), measureCatalogue(200)}},
      {"engine", measureEngine()},
      {"timeline", measureTimeline()}};
  std::cout << Root.dump(2) << "\n";
  return 0;
}
