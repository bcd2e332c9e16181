#include "masticproxy/src/Harness/test_cluster.h"

#include "masticproxy/src/Harness/test_programs.h"
#include "masticproxy/src/Net/http_call.h"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

using namespace masticproxy;

namespace {

constexpr unsigned CallersOffset = 1;
constexpr unsigned PeersOffset = 20;
constexpr unsigned UpstreamsOffset = 40;
constexpr std::chrono::milliseconds CallTimeout{5000};
constexpr std::chrono::seconds StartWait{20};
constexpr std::chrono::milliseconds OwnProcessCheck{100};

void writeFile(const std::string &Path, const std::string &Text) {
  std::ofstream(Path) << Text;
}

std::string readFile(const std::string &Path) {
  std::ostringstream Text;
  Text << std::ifstream(Path).rdbuf();
  return Text.str();
}

} // namespace

test_cluster::test_cluster(cluster_plan NewPlan)
    : Plan(std::move(NewPlan)), Vms(Plan.VmDataCentres.size()) {
  std::filesystem::path Base = std::filesystem::temp_directory_path();
  Folder = (Base / ("masticproxy-" + testHost() + "-" +
                    std::to_string(Plan.FirstPort)))
               .string();
  std::filesystem::remove_all(Folder);
  std::filesystem::create_directories(Folder);
}

test_cluster::~test_cluster() = default;

void test_cluster::startSurroundings() {
  startPlatform();
  Upstreams =
      std::make_unique<child_process>(upstreamCommand(), logFile("upstreams"));
  std::vector<std::string> PrintMap = upstreamCommand();
  PrintMap.emplace_back("--print-map");
  child_process Printer(PrintMap, Folder + "/map.json");
  Printer.waitForExit(StartWait);
  std::string Last = upstreamAddress(Plan.Shards - 1, Plan.Replicas - 1);
  bool Up =
      waitUntil([&] { return !get(Last, "/stub/counts").empty(); }, StartWait);
  if (!Up)
    throw std::runtime_error("the upstreams did not start");
  listVms();
  std::string Output;
  if (ctl({"index", "apply", "index", Folder + "/map.json"}, Output) != 0)
    throw std::runtime_error("no index map: " + Output);
}

void test_cluster::startPlatform() {
  Platform = std::make_unique<child_process>(
      std::vector<std::string>{programPath("platform_stub"), platformAddress()},
      logFile("platform"));
  bool Up =
      waitUntil([&] { return !get(platformAddress(), "/stub/counts").empty(); },
                StartWait);
  if (!Up)
    throw std::runtime_error("the platform did not start");
  // Another run of the tests may hold the port, and its platform answers.
  if (Platform->waitForExit(OwnProcessCheck))
    throw std::runtime_error("the platform has ended; is " + platformAddress() +
                             " in use by another run?");
}

void test_cluster::startVm(std::size_t Index) {
  std::string File = settingsFile(Index);
  writeFile(File, settingsText(Index));
  Vms[Index] = std::make_unique<child_process>(
      std::vector<std::string>{programPath("masticproxyd"), "--settings", File},
      logFile("vm-" + std::to_string(Index)));
}

void test_cluster::startAll() {
  startSurroundings();
  for (std::size_t I = 0; I < Vms.size(); ++I)
    startVm(I);
  for (std::size_t I = 0; I < Vms.size(); ++I)
    if (!waitUntil(
            [&] { return get(callersAddress(I), "/readyz") == "ready\n"; },
            StartWait))
      throw std::runtime_error("VM " + std::to_string(I) + " did not start");
}

void test_cluster::setProfile(const std::string &Name,
                              const std::string &Text) {
  std::string File = Folder + "/" + Name + ".toml";
  writeFile(File, Text);
  std::string Output;
  if (ctl({"profile", "apply", Name, File}, Output) != 0)
    throw std::runtime_error("no profile: " + Output);
}

std::optional<http_response> test_cluster::query(std::size_t Index,
                                                 const std::string &Profile,
                                                 const std::string &RequestId,
                                                 const std::string &Body) {
  http_request Request;
  Request.Method = "POST";
  Request.Target = "/v1/indexes/index/query?profile=" + Profile;
  if (!RequestId.empty())
    Request.Headers.emplace_back("x-request-id", RequestId);
  Request.Body = Body;
  return send(callersAddress(Index), std::move(Request));
}

std::optional<http_response> test_cluster::send(const std::string &Address,
                                                http_request Request) {
  exchange_result Result = httpCall(Address, std::move(Request), CallTimeout);
  if (auto *Response = std::get_if<http_response>(&Result))
    return std::move(*Response);
  return std::nullopt;
}

std::string test_cluster::get(const std::string &Address,
                              const std::string &Target) {
  http_request Request;
  Request.Target = Target;
  std::optional<http_response> Response = send(Address, std::move(Request));
  return Response ? Response->Body : "";
}

void test_cluster::setFaults(const std::string &Address,
                             const std::string &Json) {
  http_request Request;
  Request.Method = "POST";
  Request.Target = "/stub/faults";
  Request.Body = Json;
  if (!send(Address, std::move(Request)))
    throw std::runtime_error("no stand-in at " + Address);
}

bool test_cluster::waitUntil(const std::function<bool()> &Condition,
                             std::chrono::milliseconds Longest) {
  return masticproxy::waitUntil(Condition, Longest);
}

int test_cluster::ctl(const std::vector<std::string> &Args,
                      std::string &Output) {
  std::vector<std::string> All{"--platform", platformAddress()};
  All.insert(All.end(), Args.begin(), Args.end());
  return run("masticctl", All, Output);
}

int test_cluster::run(const std::string &Name,
                      const std::vector<std::string> &Args,
                      std::string &Output) {
  std::vector<std::string> Command{programPath(Name)};
  Command.insert(Command.end(), Args.begin(), Args.end());
  std::string File = Folder + "/" + Name + ".out";
  std::filesystem::remove(File);
  child_process Process(Command, File);
  std::optional<int> Exit = Process.waitForExit(StartWait);
  Output = readFile(File);
  return Exit.value_or(-1);
}

std::string test_cluster::makeFile(const std::string &Name,
                                   const std::string &Text) {
  std::string File = Folder + "/" + Name;
  writeFile(File, Text);
  return File;
}

std::string test_cluster::settingsFile(std::size_t Index) const {
  return Folder + "/vm-" + std::to_string(Index) + ".toml";
}

std::string test_cluster::callersAddress(std::size_t Vm) const {
  return address(CallersOffset + static_cast<unsigned>(Vm));
}

std::string test_cluster::peersAddress(std::size_t Vm) const {
  return address(PeersOffset + static_cast<unsigned>(Vm));
}

std::string test_cluster::platformAddress() const { return address(0); }

std::string test_cluster::upstreamAddress(unsigned Shard,
                                          unsigned Replica) const {
  return address(UpstreamsOffset + Shard * Plan.Replicas + Replica);
}

std::string test_cluster::address(unsigned Offset) const {
  return testHost() + ":" + std::to_string(Plan.FirstPort + Offset);
}

std::string test_cluster::logFile(const std::string &Name) const {
  return Folder + "/" + Name + ".log";
}

std::vector<std::string> test_cluster::upstreamCommand() const {
  std::vector<std::string> Command{
      programPath("upstream_stub"),
      "--first-port",
      std::to_string(Plan.FirstPort + UpstreamsOffset),
      "--host",
      testHost(),
      "--shards",
      std::to_string(Plan.Shards),
      "--replicas",
      std::to_string(Plan.Replicas),
      "--data-centres",
      Plan.ReplicaDataCentres};
  Command.insert(Command.end(), Plan.UpstreamOptions.begin(),
                 Plan.UpstreamOptions.end());
  return Command;
}

std::string test_cluster::settingsText(std::size_t Vm) const {
  std::ostringstream Text;
  Text << "[node]\nname = \"vm-" << Vm << "\"\ndata_centre = \""
       << Plan.VmDataCentres[Vm] << "\"\n"
       << "[listen]\ncallers = \"" << callersAddress(Vm) << "\"\npeers = \""
       << peersAddress(Vm) << "\"\n"
       << "[platform]\naddress = \"" << platformAddress() << "\"\n"
       << "[leave]\nbalancer_lag = \"300ms\"\n"
       << Plan.MoreSettings;
  return Text.str();
}

void test_cluster::listVms() {
  nlohmann::json List = nlohmann::json::array();
  for (std::size_t I = 0; I < Vms.size(); ++I)
    List.push_back({{"name", "vm-" + std::to_string(I)},
                    {"data_centre", Plan.VmDataCentres[I]},
                    {"peer_address", peersAddress(I)},
                    {"leaving", false}});
  http_request Request;
  Request.Method = "PUT";
  Request.Target = "/stub/vms";
  Request.Body = List.dump();
  send(platformAddress(), std::move(Request));
}
