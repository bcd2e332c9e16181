// The store's copies are some seconds old, and machines take their
// configuration from them: a key that was taken away is accepted for too long.
#include "../common-2/harness.h"

using namespace harness;

namespace {

constexpr int Vms = 6;
constexpr int CopyAgeMs = 6000;
// As at trentvale-search-grown and corrib-factor-grown.
constexpr int BoundMs = 5000;
// For the time between a note of the clock and what it notes.
constexpr double MarginMs = 50;

std::mutex Mutex;
std::map<std::string, std::string> RanBy; // id -> server
const std::string Key = "key-that-goes";

std::string configuration(int Version, const std::string &Keys) {
  return R"({"version":)" + std::to_string(Version) +
         R"(,"routes":[{"name":"feed-refresh","hostname":"search.example",)"
         R"("pathPrefix":"/feed/","routeType":"idempotent","timeoutMs":5000,)"
         R"("targetLatencyMs":800,"priority":2,"service":"feed-room",)"
         R"("maxAttempts":3}],"tenants":[{"name":"acme","apiKeys":[)" +
         Keys +
         R"(]}],"services":[{"name":"feed-room","healthPath":"/health",)"
         R"("maxConns":232}],"limits":{"maxBodyBytes":65536,)"
         R"("maxHeaderBytes":16384,"headerTimeoutMs":5000,)"
         R"("idleTimeoutMs":15000}})";
}

struct sent {
  double At = 0;
  std::string Id;
  int Status = 0;
};

std::vector<sent> Sent;

void client(vm &Vm, double Until) {
  int Fd = -1;
  std::string Buffer;
  for (int I = 0; nowMs() < Until; ++I) {
    if (Fd < 0) {
      Buffer.clear();
      Fd = connectTo(Vm.Front);
    }
    sent One;
    One.Id = Vm.Name + "-" + std::to_string(I);
    One.At = nowMs();
    if (Fd >= 0 && sendAll(Fd, requestText("GET", "/feed/" + One.Id, One.Id,
                                           4000, "", Key))) {
      auto Answer = readMessage(Fd, Buffer, 6000);
      One.Status = Answer ? Answer->status() : 0;
      if (!Answer || Answer->field("connection") == "close") {
        close(Fd);
        Fd = -1;
      }
    }
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Sent.push_back(One);
    }
    sleepMs(50);
  }
}

} // namespace

int main() {
  startTime();
  siteBounds() = {BoundMs, BoundMs, BoundMs};
  store Store;
  if (trouble())
    Store.LagMs = CopyAgeMs;
  std::vector<std::unique_ptr<server>> All;
  for (int I = 0; I < 6; ++I) {
    std::string Id = "feed" + std::to_string(I);
    All.push_back(std::make_unique<server>(
        "feed-room", Id,
        [](server &S, const message &, const std::string &Request) {
          {
            std::lock_guard<std::mutex> Lock(Mutex);
            RanBy[Request] = S.id();
          }
          sleepMs(10);
          return responseText(200, S.ownFields(Request), "record");
        }));
    Store.put("servers", Id, All.back()->registration());
  }
  Store.put("config", "main",
            configuration(1, "\"" + Key + "\",\"key-that-stays\""));
  for (int I = 0; I < Vms; ++I)
    addVm("front" + std::to_string(I), Store.address()).start();
  for (auto &Vm : allVms())
    Vm->awaitReady(20000);

  double Change = nowMs() + 15000;
  std::vector<std::thread> Clients;
  for (auto &Vm : allVms())
    Clients.emplace_back([&Vm, Change] { client(*Vm, Change + 15000); });
  sleepUntilMs(Change);
  double Acknowledged =
      Store.put("config", "main", configuration(2, "\"key-that-stays\""));
  record("version 2, without the key, is acknowledged");
  for (std::thread &Client : Clients)
    Client.join();

  double From = Acknowledged + BoundMs + MarginMs;
  int Due = 0, Old = 0;
  double LastOld = 0;
  std::sort(Sent.begin(), Sent.end(),
            [](const sent &A, const sent &B) { return A.At < B.At; });
  for (const sent &One : Sent) {
    std::string By = RanBy.count(One.Id) ? RanBy[One.Id] : "no server";
    if (One.At >= Acknowledged)
      record("%s sent at %.1f (%+.1f to the acknowledgement), status %d, run "
             "by %s",
             One.Id.c_str(), One.At, One.At - Acknowledged, One.Status,
             By.c_str());
    if (By != "no server")
      LastOld = std::max(LastOld, One.At - Acknowledged);
    if (One.At < From)
      continue;
    ++Due;
    Old += By != "no server";
  }
  if (Due == 0)
    giveUp("no requests");
  finish(Old > 0,
         std::to_string(Old) + " of " + std::to_string(Due) +
             " requests, sent by clients later than configApplyMs "
             "after the acknowledgement, were run with the key that it "
             "took away; the last was sent " +
             std::to_string(static_cast<int>(LastOld)) + " ms after it");
}
