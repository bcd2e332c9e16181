// Requests that come on kept connections as a stopping VM closes those that
// are idle: some are run by a server, and their connections end unanswered.
#include "../common-2/harness.h"

#include <sys/resource.h>

using namespace harness;

namespace {

// A small deployment, like the front machines of kgotla-search.
constexpr int Vms = 19;
// roll_term, share 0.45: of nineteen machines eight.
constexpr int Restarted = 8;
constexpr int Servers = 7;
constexpr int Kept = 400;
// Each client refreshes what it shows so often, on a connection that it kept.
constexpr double RefreshMs = 5000;
constexpr int DeadlineMs = 5000;
constexpr double WorkMs = 120;

std::mutex Mutex;
std::map<std::string, std::string> Ran; // id -> server

/// One connection that a client keeps, and the request under way on it.
struct kept {
  int Fd = -1;
  std::string Buffer;
  std::string Id;
  double SentAt = 0;
  bool Closing = false; // the last answer said so
};

struct tally {
  std::atomic<int> Sent{0}, Answered{0}, NotRun{0}, Unanswered{0}, Lost{0};
} Tally;

/// Sends one request on each connection and takes the answers.
/// \returns whether any connection is left.
bool refresh(vm &Vm, std::vector<kept> &Connections, int Round, double From) {
  sleepUntilMs(From);
  for (std::size_t I = 0; I < Connections.size(); ++I) {
    kept &C = Connections[I];
    if (C.Fd < 0)
      continue;
    C.Id = Vm.Name + "-" + std::to_string(Round) + "-" + std::to_string(I);
    C.SentAt = nowMs();
    if (!sendAll(C.Fd,
                 requestText("GET", "/proof/" + C.Id, C.Id, DeadlineMs))) {
      close(C.Fd); // closed before anything could be sent
      C.Fd = -1;
      continue;
    }
    ++Tally.Sent;
  }
  double Latest = nowMs() + DeadlineMs + 1000;
  for (kept &C : Connections) {
    if (C.Fd < 0)
      continue;
    auto Answer = readMessage(C.Fd, C.Buffer, std::max(1.0, Latest - nowMs()));
    if (Answer) {
      ++Tally.Answered;
      if (Answer->status() != 200)
        record("%s answered %d", C.Id.c_str(), Answer->status());
      if (Answer->field("connection") == "close") {
        close(C.Fd);
        C.Fd = -1;
      }
      continue;
    }
    close(C.Fd);
    C.Fd = -1;
    double EndedAt = nowMs();
    ++Tally.Unanswered;
    std::lock_guard<std::mutex> Lock(Mutex);
    auto Found = Ran.find(C.Id);
    if (Found == Ran.end()) {
      ++Tally.NotRun;
      continue;
    }
    ++Tally.Lost;
    record("LOST %s: sent at %.1f, run by server %s, connection ended without "
           "an answer (seen by %.1f)",
           C.Id.c_str(), C.SentAt, Found->second.c_str(), EndedAt);
  }
  for (kept &C : Connections)
    if (C.Fd >= 0)
      return true;
  return false;
}

void clientsOf(vm &Vm, double First, double Until) {
  std::vector<kept> Connections(Kept);
  for (kept &C : Connections)
    if ((C.Fd = connectTo(Vm.Front)) < 0)
      giveUp("can't connect to " + Vm.Name);
  int Round = 0;
  for (double At = First; At < Until; At += RefreshMs)
    if (!refresh(Vm, Connections, Round++, At))
      break;
  for (kept &C : Connections)
    if (C.Fd >= 0)
      close(C.Fd);
}

} // namespace

int main() {
  rlimit Files{4096, 4096};
  getrlimit(RLIMIT_NOFILE, &Files);
  if (Files.rlim_cur < 4096) {
    Files.rlim_cur = std::min<rlim_t>(Files.rlim_max, 8192);
    setrlimit(RLIMIT_NOFILE, &Files);
  }
  startTime();
  store Store;
  std::vector<std::unique_ptr<server>> All;
  for (int I = 0; I < Servers; ++I) {
    std::string Id = "proof" + std::to_string(I);
    All.push_back(std::make_unique<server>(
        "proof-room", Id,
        [](server &S, const message &, const std::string &Request) {
          {
            std::lock_guard<std::mutex> Lock(Mutex);
            Ran[Request] = S.id();
          }
          sleepMs(WorkMs);
          return responseText(200, S.ownFields(Request), "record " + Request);
        }));
    Store.put("servers", Id, All.back()->registration());
  }
  Store.put("config", "main",
            R"({"version":1,"routes":[{"name":"proof-fetch","hostname":)"
            R"("search.example","pathPrefix":"/proof/","routeType":)"
            R"("idempotent","timeoutMs":5000,"targetLatencyMs":500,)"
            R"("priority":2,"service":"proof-room","maxAttempts":3}],)"
            R"("services":[{"name":"proof-room","healthPath":"/health",)"
            R"("maxConns":232}],"limits":{"maxBodyBytes":65536,)"
            R"("maxHeaderBytes":16384,"headerTimeoutMs":5000,)"
            R"("idleTimeoutMs":15000}})");
  for (int I = 0; I < Vms; ++I)
    addVm("front" + std::to_string(I), Store.address()).start();
  for (auto &Vm : allVms())
    Vm->awaitReady(20000);
  sleepMs(3000);

  double First = nowMs() + 1000;
  double Until = First + (Restarted + 3) * RefreshMs;
  std::vector<std::thread> Clients;
  for (int I = 0; I < Restarted; ++I)
    Clients.emplace_back([I, First, Until] {
      clientsOf(*allVms()[static_cast<std::size_t>(I)], First + 10.0 * I,
                Until);
    });
  // One machine after the other, stopped and started again.
  std::thread Operator([First] {
    if (!trouble())
      return;
    for (int I = 0; I < Restarted; ++I) {
      vm &Vm = *allVms()[static_cast<std::size_t>(I)];
      // Half a refresh before the next but one. The time within the refresh
      // differs from machine to machine.
      sleepUntilMs(First + 10.0 * I + (I + 2) * RefreshMs - 2500 + 1 + I);
      Vm.signal(SIGTERM);
      Vm.awaitEnd(6000);
      sleepMs(1000);
      Vm.start();
    }
  });
  for (std::thread &Client : Clients)
    Client.join();
  Operator.join();

  record("sent %d, answered %d, ended unanswered %d, of these not run %d, run "
         "%d",
         Tally.Sent.load(), Tally.Answered.load(), Tally.Unanswered.load(),
         Tally.NotRun.load(), Tally.Lost.load());
  if (Tally.Answered < Kept)
    giveUp("hardly anything was answered");
  finish(Tally.Lost > 0, std::to_string(Tally.Lost) +
                             " requests were run and their connections ended "
                             "without an answer");
}
