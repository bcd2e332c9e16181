/// \file
/// masticctl's time line against real VMs, one of them stopped.

#include "masticproxy/Harness"

#include <criterion/criterion.h>

#include <csignal>
#include <fstream>
#include <set>
#include <sstream>
#include <thread>

using namespace masticproxy;

namespace {

/// \returns whether \p Text is a row's bar, such as ` |  ===  |`.
bool isBar(const std::string &Text) {
  std::size_t Begin = Text.find_first_not_of(' ');
  std::size_t End = Text.find('|', Begin + 1);
  return Begin != std::string::npos && Text[Begin] == '|' &&
         End != std::string::npos &&
         Text.find_first_not_of("= ", Begin + 1) == End;
}

/// \returns the upstreams of the waterfall's rows that end with an answer, each
/// with a bar: `first ADDRESS answered | ==== |`.
std::set<std::string> answeringUpstreams(const std::string &Waterfall) {
  std::set<std::string> Upstreams;
  std::istringstream Lines(Waterfall);
  for (std::string Line; std::getline(Lines, Line);) {
    std::istringstream Words(Line);
    std::string Word;
    std::string Upstream;
    std::string Ended;
    std::string Bar;
    while (Words >> Word && Word != "first" && Word != "retry" &&
           Word != "hedge")
      continue;
    if (Words >> Upstream >> Ended && std::getline(Words, Bar) &&
        Ended == "answered" && isBar(Bar))
      Upstreams.insert(Upstream);
  }
  return Upstreams;
}

constexpr const char *Lookup =
    "wait = \"2s\"\ncoverage = 1.0\nmay_repeat = true\n";
constexpr int Unreachable = 1;
constexpr int Usage = 2;

bool has(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

bool answers(test_cluster &Cluster, std::size_t Vm, const std::string &Id) {
  auto Response = Cluster.query(Vm, "lookup", Id);
  return Response && has(Response->Body, "\"answered\"");
}

std::size_t count(const std::string &Text, const std::string &Part) {
  std::size_t Found = 0;
  for (std::size_t At = Text.find(Part); At != std::string::npos;
       At = Text.find(Part, At + 1))
    ++Found;
  return Found;
}

/// Starts all and stops the second VM.
void startWithOneStopped(test_cluster &Cluster) {
  Cluster.startAll();
  Cluster.setProfile("lookup", Lookup);
  cr_assert(Cluster.waitUntil([&] { return answers(Cluster, 0, "warm"); }));
  Cluster.vm(1).signal(SIGKILL);
  Cluster.vm(1).waitForExit(std::chrono::seconds(5));
}

std::string bothVms(const test_cluster &Cluster) {
  return Cluster.callersAddress(0) + "," + Cluster.callersAddress(1);
}

/// Choice of events and refusals, where look-1 was answered from four shards.
void checkChoice(test_cluster &Cluster) {
  std::string Vm = Cluster.callersAddress(0);
  std::string Output;
  cr_assert(Cluster.ctl({"timeline", "--vm", Vm, "--profile", "lookup",
                         "--kind", "attempt_answered", "--since", "5min",
                         "--request", "look-1"},
                        Output) == 0);
  cr_assert(count(Output, "attempt_answered") == 4, "%s", Output.c_str());
  cr_assert(count(Output, "\n") == 5, "%s", Output.c_str());
  Cluster.ctl({"timeline", "--vm", Vm, "--profile", "other"}, Output);
  cr_assert(Output.empty(), "%s", Output.c_str());
  Cluster.ctl({"timeline", "--vm", Vm, "--until", "5min"}, Output);
  cr_assert(Output.empty(), "%s", Output.c_str());
  cr_assert(Cluster.ctl({"timeline", "--vm", Vm, "--since", "soon"}, Output) ==
            Usage);
  cr_assert(has(Output, "--since needs a span"), "%s", Output.c_str());
  cr_assert(
      Cluster.ctl({"timeline", "--vm", Vm, "--request", "none", "--waterfall"},
                  Output) == Unreachable);
  cr_assert(has(Output, "no attempts of request none"), "%s", Output.c_str());
  cr_assert(has(Cluster.get(Vm, "/v1/timeline?from=x"), "bad_request"));
}

} // namespace

Test(timeline, shows_a_fan_out_and_chooses_events_with_one_vm_stopped) {
  test_cluster Cluster({.FirstPort = 26500});
  startWithOneStopped(Cluster);
  cr_assert(answers(Cluster, 0, "look-1"));
  std::string Svg = Cluster.makeFile("look.svg", "");
  std::string Output;
  int Exit = Cluster.ctl({"timeline", "--vm", bothVms(Cluster), "--request",
                          "look-1", "--waterfall", "--svg", Svg},
                         Output);
  cr_assert(Exit == Unreachable);
  cr_assert(has(Output, "no events from: " + Cluster.callersAddress(1)), "%s",
            Output.c_str());
  cr_assert(has(Output, "outcome answered"), "%s", Output.c_str());
  // A line with an answer for each shard, by one of the shard's upstreams.
  std::set<std::string> Upstreams = answeringUpstreams(Output);
  for (unsigned Shard = 0; Shard < 4; ++Shard) {
    std::size_t Known = 0;
    for (unsigned Replica = 0; Replica < 3; ++Replica)
      Known += Upstreams.count(Cluster.upstreamAddress(Shard, Replica));
    cr_assert(Known == 1, "shard %u:\n%s", Shard, Output.c_str());
  }
  std::ostringstream Picture;
  Picture << std::ifstream(Svg).rdbuf();
  cr_assert(has(Picture.str(), "</svg>"));
  for (const std::string &Upstream : Upstreams)
    cr_assert(has(Picture.str(), Upstream));
  checkChoice(Cluster);
}

Test(timeline, follows_and_says_which_vm_stops_and_begins_to_answer) {
  test_cluster Cluster({.FirstPort = 26600});
  startWithOneStopped(Cluster);
  std::string Output;
  int Exit = 0;
  {
    std::jthread Follower([&] {
      Exit = Cluster.ctl({"timeline", "--vm", bothVms(Cluster), "--kind",
                          "query_arrived", "--follow", "--for", "12s"},
                         Output);
    });
    std::this_thread::sleep_for(std::chrono::seconds(2));
    cr_assert(answers(Cluster, 0, "during"));
    Cluster.startVm(1);
    cr_assert(
        Cluster.waitUntil([&] { return answers(Cluster, 1, "at-new-vm"); }));
  }
  cr_assert(Exit == 0, "%s", Output.c_str());
  std::string Second = Cluster.callersAddress(1);
  cr_assert(count(Output, "-- " + Second + " does not answer") == 1, "%s",
            Output.c_str());
  cr_assert(count(Output, "-- " + Second + " begins to answer") == 1, "%s",
            Output.c_str());
  cr_assert(count(Output, " during ") == 1, "%s", Output.c_str());
  cr_assert(count(Output, " at-new-vm ") >= 1, "%s", Output.c_str());
}
