/// \file
/// The store loses the answer that tells one VM of three of a new
/// configuration. That VM goes on with the old one long after the store is
/// sound again.

#include "../common/harness.h"

using namespace review;

namespace {

constexpr int Vms = 3;

/// One answer of three is lost, for so long.
constexpr int LossMs = 4500;

/// Bounds of the site; the deploy file's template gets the same.
constexpr int StableWindowMs = 4000;

/// From the end of the losses until the first request that counts: the stable
/// window and half a second. The bound on a change is over long before.
constexpr int CalmMs = StableWindowMs + 500;

constexpr int Requests = 30;
constexpr int RequestPauseMs = 300;

json configuration(int Version, const std::string &Service) {
  json Fetch = routeNode("fetch", "/fetch/", "idempotent");
  Fetch["service"] = Service;
  return {{"version", Version},
          {"routes", json::array({Fetch})},
          {"services", {serviceNode("old"), serviceNode("new")}},
          {"limits", limitsNode()}};
}

int run(const setting &Setting) {
  store Store;
  server Old("i-old", "old");
  server New("i-new", "new");
  std::atomic<int> RunsOld{0};
  std::atomic<int> RunsNew{0};
  Old.Ran = [&](const message &) { ++RunsOld; };
  New.Ran = [&](const message &) { ++RunsNew; };
  std::atomic<bool> Losing{false};
  std::atomic<int> Answers{0};
  // The first of each three answers of the store is lost.
  Store.Loses = [&](const message &, const std::string &) {
    return Losing && Answers++ % Vms == 0;
  };
  Store.put("servers", Old.id(), Old.entry());
  Store.put("servers", New.id(), New.entry());
  Store.put("config", "main", configuration(1, "old"));
  std::vector<std::unique_ptr<vm>> All;
  for (int I = 0; I < Vms; ++I)
    All.push_back(std::make_unique<vm>(Setting.Root, Setting.Folder,
                                       Store.address(),
                                       "edge-" + std::to_string(I + 1)));
  for (auto &Vm : All)
    Vm->awaitReady();
  sleepFor(3000);
  for (auto &Vm : All)
    exchange(Vm->Front, "GET", "/fetch/a", "before");
  Losing = Setting.Trouble;
  record("from now on one answer of three of the store is lost, if TROUBLE=1");
  sleepFor(1000);
  Store.put("config", "main", configuration(2, "new"));
  sleepFor(LossMs - 1000);
  Losing = false;
  record("no answer is lost any more");
  sleepFor(CalmMs);
  RunsOld = 0;
  RunsNew = 0;
  record("all VMs are in touch, and the bound on the change is over");
  for (int I = 0; I < Requests; ++I) {
    for (auto &Vm : All)
      exchange(Vm->Front, "GET", "/fetch/a", "id-" + std::to_string(I));
    sleepFor(RequestPauseMs);
  }
  return verdict(RunsOld > 0, std::to_string(RunsOld) +
                                  " requests were run by the old service, " +
                                  std::to_string(RunsNew) + " by the new one");
}

} // namespace

int main(int Count, char **Words) { return runCase(Count, Words, run); }
