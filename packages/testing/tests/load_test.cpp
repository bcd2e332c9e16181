/// \file
/// The load tool: what is due counts, whatever the answers do.

#include "masticproxy/Harness"
#include "masticproxy/StandIns"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <thread>

using namespace masticproxy;
using std::chrono::milliseconds;

Test(load, of_requests_without_an_answer_ends_in_time_and_counts_them) {
  open_loop Loop({1000, milliseconds(100), milliseconds(100)});
  auto Start = std::chrono::steady_clock::now();
  load_result Result = Loop.run([&](std::size_t Number) {
    if (Number < 40)
      Loop.finish(Number, "answered", 1.0);
  });
  auto Taken = std::chrono::steady_clock::now() - Start;
  cr_assert(Taken < std::chrono::seconds(2));
  cr_assert(Result.Codes["answered"] == 40);
  cr_assert(Result.Codes["unfinished"] == 60);
  cr_assert(Result.Latencies.size() == 100);
  // The last request was due 1 ms before the end of the length.
  cr_assert(Result.Latencies.back() >= 100000);
}

Test(load, counts_a_stall_against_every_request_due_in_it) {
  open_loop Loop({1000, milliseconds(100), milliseconds(1000)});
  load_result Result = Loop.run([&](std::size_t Number) {
    if (Number == 10)
      std::this_thread::sleep_for(milliseconds(50));
    Loop.finish(Number, "answered", 1.0);
  });
  std::size_t Late = 0;
  for (std::int64_t Latency : Result.Latencies)
    Late += Latency > 10000 ? 1 : 0;
  cr_assert(Late >= 35, "%zu", Late);
}

Test(load, histogram_holds_every_request) {
  load_result Result;
  Result.Latencies = {0, 5, 10, 5000, 5001, 999999999};
  auto Root = nlohmann::json::parse(toJson(1, Result));
  std::uint64_t Sum = 0;
  for (const auto &Bin : Root["histogram"])
    Sum += Bin["count"].get<std::uint64_t>();
  cr_assert(Sum == Result.Latencies.size());
}

Test(load, goes_to_the_upstreams_directly) {
  test_cluster Cluster({.FirstPort = 25000, .VmDataCentres = {}});
  Cluster.startSurroundings();
  std::string Output;
  cr_assert(Cluster.run("masticproxy_load",
                        {"--direct", Cluster.mapFile(), "--rate", "100",
                         "--length-ms", "500"},
                        Output) == 0);
  auto Root = nlohmann::json::parse(Output);
  cr_assert(Root["codes"]["answered"] == 50);
  cr_assert(Root["mean_coverage"] == 1.0);
}
