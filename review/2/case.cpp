/// \file
/// A configuration adds a fan-out route that has the same name as a service.
/// Requests of the routes to that service then go to the shards instead.

#include "../common/harness.h"

using namespace review;

namespace {

constexpr int Shards = 3;
constexpr int Requests = 10;

json configuration(int Version, const std::string &FanOutName) {
  json File = routeNode("file-claim", "/file/", "non_idempotent");
  File["service"] = "archives";
  json Routes = {File};
  json Services = {serviceNode("archives")};
  json Names = json::array();
  for (int I = 0; I < Shards; ++I) {
    Services.push_back(serviceNode("shard-" + std::to_string(I)));
    Names.push_back("shard-" + std::to_string(I));
  }
  if (!FanOutName.empty()) {
    json Search = routeNode(FanOutName, "/search/", "idempotent");
    Search["fanoutServices"] = Names;
    Search["topK"] = 5;
    Search["minShardRatio"] = 0.5;
    Routes.push_back(Search);
  }
  return {{"version", Version},
          {"routes", Routes},
          {"services", Services},
          {"limits", limitsNode()}};
}

int run(const setting &Setting) {
  store Store;
  std::mutex Mutex;
  std::map<std::string, std::vector<std::string>> Runs;
  std::vector<std::unique_ptr<server>> Servers;
  auto Add = [&](const std::string &Id, const std::string &Service) {
    auto One = std::make_unique<server>(Id, Service);
    One->Ran = [&, Service](const message &Request) {
      std::lock_guard<std::mutex> Lock(Mutex);
      Runs[Request.get("x-masticproxy-request-id")].push_back(Service);
    };
    Store.put("servers", Id, One->entry());
    Servers.push_back(std::move(One));
  };
  Add("i-archives", "archives");
  for (int I = 0; I < Shards; ++I)
    Add("i-shard-" + std::to_string(I), "shard-" + std::to_string(I));
  Store.put("config", "main", configuration(1, ""));
  vm Vm(Setting.Root, Setting.Folder, Store.address());
  Vm.awaitReady();
  sleepFor(1000);
  if (exchange(Vm.Front, "POST", "/file/x", "before", "claim")
          .Response.status() != 200)
    throw std::runtime_error("not served before the change");
  // The change of the configuration. Service and route are of two kinds.
  Store.put("config", "main",
            configuration(2, Setting.Trouble ? "archives" : "archive-search"));
  sleepFor(4000);
  int Unsigned = 0;
  for (int I = 0; I < Requests; ++I) {
    std::string Id = "id-" + std::to_string(I);
    reply R = exchange(Vm.Front, "POST", "/file/x", Id, "claim");
    if (R.End == read_end::Whole && R.Response.status() / 100 == 2 &&
        R.Response.get("x-masticproxy-server-stamp").empty())
      ++Unsigned;
  }
  std::lock_guard<std::mutex> Lock(Mutex);
  int Foreign = 0;
  int Twice = 0;
  for (const auto &[Id, Services] : Runs) {
    Twice += Services.size() > 1 ? 1 : 0;
    Foreign += std::any_of(Services.begin(), Services.end(),
                           [](const auto &S) { return S != "archives"; })
                   ? 1
                   : 0;
  }
  return verdict(Foreign > 0 || Twice > 0 || Unsigned > 0,
                 "of " + std::to_string(Requests) +
                     " non_idempotent requests for service archives, " +
                     std::to_string(Foreign) + " ran at other services, " +
                     std::to_string(Twice) + " ran more than once, " +
                     std::to_string(Unsigned) +
                     " got a success without a server's stamp");
}

} // namespace

int main(int Count, char **Words) { return runCase(Count, Words, run); }
