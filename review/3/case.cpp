/// \file
/// One answer of a faulty server has a chunk extension without end. The VM
/// keeps all of it until the request's time is over, and is killed for its
/// memory; the requests that it was serving beside get no answer.

#include "../common/harness.h"

using namespace review;

namespace {

/// Figures of the site's machines: a process above this memory is killed, and a
/// machine's link carries so much.
constexpr long MemoryMb = 182;
constexpr long LinkMbps = 700;

/// The faulty server sends at less than half of the link.
constexpr long EndlessMbps = 320;
static_assert(EndlessMbps < LinkMbps);

/// Of the faulty server's answers one in at least so many has no end: 0.0125,
/// below the 0.02 of the pages. It is the only one.
constexpr int AnswersBefore = 80;

constexpr int Clients = 12;
constexpr std::chrono::seconds Length{12};

json configuration() {
  json Fetch = routeNode("proof-fetch", "/fetch/", "idempotent");
  Fetch["service"] = "proof-room";
  Fetch["timeoutMs"] = 5000;
  return {{"version", 1},
          {"routes", json::array({Fetch})},
          {"services", {serviceNode("proof-room")}},
          {"limits", limitsNode()}};
}

long residentMb(pid_t Pid) {
  std::ifstream File("/proc/" + std::to_string(Pid) + "/statm");
  long Pages = 0;
  File >> Pages >> Pages;
  return Pages * ::sysconf(_SC_PAGESIZE) / (1L << 20);
}

/// \brief The platform's part: it kills a process that has too much memory.
class memory_guard {
public:
  explicit memory_guard(const vm &Vm)
      : Thread([this, &Vm] {
          while (!Stopping && !Killed) {
            long Mb = residentMb(Vm.pid());
            PeakMb = std::max(PeakMb.load(), Mb);
            if (Mb > MemoryMb) {
              Killed = true;
              record("platform: the daemon has " + std::to_string(Mb) +
                     " MB of " + std::to_string(MemoryMb) + ", killed");
              Vm.signal(SIGKILL);
            }
            sleepFor(5);
          }
        }) {}
  ~memory_guard() {
    Stopping = true;
    Thread.join();
  }
  std::atomic<long> PeakMb{0};
  std::atomic<bool> Killed{false};

private:
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

/// Sends a chunk extension until the other end closes.
void sendWithoutEnd(connection &C, const std::string &Head) {
  C.send(Head + "Transfer-Encoding: chunked\r\n\r\n5;");
  const std::string Piece(65536, 'x');
  auto Start = steady::now();
  double Sent = 0;
  while (C.send(Piece)) {
    Sent += static_cast<double>(Piece.size());
    std::chrono::duration<double> Due(Sent * 8 / (EndlessMbps * 1e6));
    std::this_thread::sleep_until(
        Start + std::chrono::duration_cast<steady::duration>(Due));
  }
  record("faulty server: the answer went on for " +
         std::to_string(static_cast<long>(Sent / 1e6)) +
         " MB until the caller closed");
}

int run(const setting &Setting) {
  store Store;
  std::mutex Mutex;
  std::map<std::string, bool> RanAtSound;
  std::vector<std::unique_ptr<server>> Servers;
  for (const char *Id : {"i-faulty", "i-sound-1", "i-sound-2"}) {
    Servers.push_back(std::make_unique<server>(Id, "proof-room"));
    Servers.back()->WorkMs = 100;
  }
  for (std::size_t I = 1; I < Servers.size(); ++I)
    Servers[I]->Ran = [&](const message &Request) {
      std::lock_guard<std::mutex> Lock(Mutex);
      RanAtSound[Request.get("x-masticproxy-request-id")] = true;
    };
  std::atomic<int> Answers{0};
  Servers[0]->Instead = [&](connection &C, const message &Request) {
    if (!Setting.Trouble || ++Answers != AnswersBefore)
      return false;
    std::string Id = Request.get("x-masticproxy-request-id");
    record("faulty server: its answer to id " + Id + " has no end");
    sendWithoutEnd(C, "HTTP/1.1 200 OK\r\nX-Masticproxy-Request-Id: " + Id +
                          "\r\nX-Masticproxy-Server-Stamp: i-faulty." + Id +
                          "\r\n");
    return true;
  };
  for (auto &Server : Servers)
    Store.put("servers", Server->id(), Server->entry());
  Store.put("config", "main", configuration());
  vm Vm(Setting.Root, Setting.Folder, Store.address());
  Vm.awaitReady();
  sleepFor(4500);
  memory_guard Guard(Vm);
  auto Until = steady::now() + Length;
  std::atomic<int> Served{0};
  std::vector<std::string> Unanswered;
  auto Ask = [&](int Number) {
    client Client(Vm.Front);
    for (int I = 0; steady::now() < Until; ++I) {
      std::string Id = "id-" + std::to_string(Number) + "-" + std::to_string(I);
      reply R = exchange(Client, "GET", "/fetch/a", Id, "", 5000);
      if (R.End == read_end::Whole) {
        ++Served;
        continue;
      }
      // The first request of a connection shows that it is kept.
      std::lock_guard<std::mutex> Lock(Mutex);
      if (I > 0 && R.End != read_end::Late)
        Unanswered.push_back(Id);
      return;
    }
  };
  std::vector<std::thread> Threads;
  for (int I = 0; I < Clients; ++I)
    Threads.emplace_back(Ask, I);
  for (std::thread &One : Threads)
    One.join();
  std::lock_guard<std::mutex> Lock(Mutex);
  auto Lost = std::count_if(Unanswered.begin(), Unanswered.end(),
                            [&](const auto &Id) { return RanAtSound[Id]; });
  return verdict(
      Guard.Killed && Lost > 3,
      "peak of " + std::to_string(Guard.PeakMb) + " MB of " +
          std::to_string(MemoryMb) +
          (Guard.Killed ? ", the daemon was killed; " : "; ") +
          std::to_string(Served) + " requests served, " + std::to_string(Lost) +
          " of kept connections closed without an answer though a sound "
          "server had them");
}

} // namespace

int main(int Count, char **Words) { return runCase(Count, Words, run); }
