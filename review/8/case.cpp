// The store's copies are some seconds old, and machines take their
// configuration from them: the old version stays in force for too long.
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
std::map<std::string, std::string> RanBy; // id -> service

std::string configuration(int Version, const std::string &Service) {
  return R"({"version":)" + std::to_string(Version) +
         R"(,"routes":[{"name":"proof-fetch","hostname":"search.example",)"
         R"("pathPrefix":"/proof/","routeType":"idempotent","timeoutMs":5000,)"
         R"("targetLatencyMs":500,"priority":2,"service":")" +
         Service +
         R"(","maxAttempts":3}],"services":[{"name":"proof-room","healthPath":)"
         R"("/health","maxConns":232},{"name":"stock-ledger","healthPath":)"
         R"("/health","maxConns":232}],"limits":{"maxBodyBytes":65536,)"
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
    if (Fd >= 0 && sendAll(Fd, requestText("GET", "/proof/" + One.Id, One.Id,
                                           5000))) {
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
  for (std::string Service : {"proof-room", "stock-ledger"})
    for (int I = 0; I < 4; ++I) {
      std::string Id = Service + std::to_string(I);
      All.push_back(std::make_unique<server>(
          Service, Id,
          [](server &S, const message &, const std::string &Request) {
            {
              std::lock_guard<std::mutex> Lock(Mutex);
              RanBy[Request] = S.Service;
            }
            sleepMs(10);
            return responseText(200, S.ownFields(Request), "record");
          }));
      Store.put("servers", Id, All.back()->registration());
    }
  Store.put("config", "main", configuration(1, "proof-room"));
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
      Store.put("config", "main", configuration(2, "stock-ledger"));
  record("version 2 is acknowledged");
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
    if (By == "proof-room")
      LastOld = std::max(LastOld, One.At - Acknowledged);
    if (One.At < From)
      continue;
    ++Due;
    Old += By == "proof-room";
  }
  if (Due == 0)
    giveUp("no requests");
  finish(Old > 0, std::to_string(Old) + " of " + std::to_string(Due) +
                      " requests, sent by clients later than configApplyMs "
                      "after the acknowledgement, were run by the old service; "
                      "the last was sent " +
                      std::to_string(static_cast<int>(LastOld)) +
                      " ms after it");
}
