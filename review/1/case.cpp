/// \file
/// A server is full for some requests and says so. Of these responses a second
/// copy comes late, at the point where the next response is expected. It is
/// taken for the answer to the next request, which then runs twice, or is
/// answered that it has not run.

#include "../common/harness.h"

using namespace review;

namespace {

/// The extra responses come for so long, of one server of two.
constexpr milliseconds GarbleTime{5000};

/// One answer in so many has a late second copy: 0.02, below the 0.03 of the
/// pages.
constexpr int AnswersForOneExtra = 50;

/// Clients that each send one request after the other.
constexpr int ClientCount = 4;

struct tally {
  std::mutex Mutex;
  std::map<std::string, int> Runs;
  int Answers = 0;
  int Extras = 0;
};

json configuration() {
  json Book = routeNode("book", "/book/", "non_idempotent");
  Book["service"] = "ledger";
  return {{"version", 1},
          {"routes", json::array({Book})},
          {"services", {serviceNode("ledger")}},
          {"limits", limitsNode()}};
}

int run(const setting &Setting) {
  store Store;
  tally Tally;
  server Faulty("i-faulty", "ledger");
  server Sound("i-sound", "ledger");
  for (server *One : {&Faulty, &Sound}) {
    One->WorkMs = 10;
    One->Ran = [&](const message &Request) {
      std::lock_guard<std::mutex> Lock(Tally.Mutex);
      ++Tally.Runs[Request.get("x-masticproxy-request-id")];
    };
  }
  // Full now and then, with and without the trouble.
  Faulty.Full = [&](const message &) {
    std::lock_guard<std::mutex> Lock(Tally.Mutex);
    return ++Tally.Answers % AnswersForOneExtra == 0;
  };
  Faulty.Extra = [&](const std::string &Before) {
    bool Rejection =
        Before.find("X-Masticproxy-Not-Executed") != std::string::npos;
    if (!Setting.Trouble || !Rejection)
      return std::string();
    std::lock_guard<std::mutex> Lock(Tally.Mutex);
    ++Tally.Extras;
    return Before;
  };
  Store.put("servers", Faulty.id(), Faulty.entry());
  Store.put("servers", Sound.id(), Sound.entry());
  Store.put("config", "main", configuration());
  vm Vm(Setting.Root, Setting.Folder, Store.address());
  Vm.awaitReady();
  sleepFor(1000);
  std::map<std::string, int> Statuses;
  std::atomic<bool> Cut{false};
  auto Until = steady::now() + GarbleTime;
  auto Ask = [&](int Number) {
    client Client(Vm.Front);
    for (int I = 0; steady::now() < Until; ++I) {
      std::string Id = "id-" + std::to_string(Number) + "-" + std::to_string(I);
      reply R = exchange(Client, "POST", "/book/x", Id, "order");
      Cut = Cut || R.End != read_end::Whole;
      std::lock_guard<std::mutex> Lock(Tally.Mutex);
      Statuses[Id] = R.Response.status();
    }
  };
  std::vector<std::thread> Clients;
  for (int I = 0; I < ClientCount; ++I)
    Clients.emplace_back(Ask, I);
  for (std::thread &One : Clients)
    One.join();
  if (Cut)
    throw std::runtime_error("a connection ended");
  std::lock_guard<std::mutex> Lock(Tally.Mutex);
  int Twice = 0;
  int Refused = 0;
  for (const auto &[Id, Count] : Tally.Runs) {
    bool SaidNotRun = Statuses[Id] == 503 || Statuses[Id] == 429;
    Twice += Count > 1 ? 1 : 0;
    Refused += Count > 0 && SaidNotRun ? 1 : 0;
  }
  return verdict(Twice > 0 || Refused > 0,
                 "of " + std::to_string(Statuses.size()) +
                     " non_idempotent requests, " + std::to_string(Twice) +
                     " ran more than once and " + std::to_string(Refused) +
                     " ran and were answered that they had not; " +
                     std::to_string(Tally.Extras) + " extra responses of " +
                     std::to_string(Tally.Answers) + " answers of the server");
}

} // namespace

int main(int Count, char **Words) { return runCase(Count, Words, run); }
