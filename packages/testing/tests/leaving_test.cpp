/// \file
/// A graceful shutdown cuts no request: callers on kept-alive connections, a
/// balancer that reads the ready check, VMs that leave one by one and at once.

#include "masticproxy/Harness"
#include "masticproxy/Net"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <criterion/criterion.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace masticproxy;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds BalancerPoll{50};
constexpr milliseconds CallTimeout{5000};
constexpr unsigned Callers = 12;

/// Callers behind a balancer that sends requests to ready VMs only.
class balanced_callers {
public:
  explicit balanced_callers(std::vector<std::string> NewVms)
      : Vms(std::move(NewVms)), Ready(Vms.size(), true), Timer(Context) {
    for (std::size_t I = 0; I < Vms.size(); ++I)
      Probes.push_back(std::make_unique<http_connection>(Context, Vms[I]));
    for (unsigned I = 0; I < Callers; ++I)
      for (const std::string &Vm : Vms)
        Connections[I].push_back(
            std::make_unique<http_connection>(Context, Vm));
    for (unsigned I = 0; I < Callers; ++I)
      Waits.push_back(
          std::make_unique<boost::asio::steady_timer>(Context, BalancerPoll));
  }

  /// Sends requests, one after the other for each caller, for \p Length;
  /// \p AtStart runs once requests are under way.
  void run(milliseconds Length, const std::function<void()> &AtStart) {
    End = std::chrono::steady_clock::now() + Length;
    poll();
    for (unsigned I = 0; I < Callers; ++I)
      send(I);
    boost::asio::steady_timer Start(Context, Length / 4);
    Start.async_wait([&](const auto &) {
      AtStart();
      Started = std::chrono::steady_clock::now();
    });
    Context.run();
  }

  std::map<std::string, unsigned> Outcomes;
  /// What is known of each cut request.
  std::string Cuts;

private:
  bool over() const { return std::chrono::steady_clock::now() >= End; }

  void poll() {
    if (over())
      return;
    for (std::size_t I = 0; I < Vms.size(); ++I) {
      http_request Request;
      Request.Target = "/readyz";
      Probes[I]->exchange(std::move(Request), BalancerPoll,
                          [this, I](const exchange_result &R) {
                            auto *Response = std::get_if<http_response>(&R);
                            Ready[I] = Response && Response->Status == 200;
                          });
    }
    Timer.expires_after(BalancerPoll);
    Timer.async_wait([this](const auto &) { poll(); });
  }

  void send(unsigned Caller) {
    if (over()) {
      Connections[Caller].clear();
      return;
    }
    if (std::find(Ready.begin(), Ready.end(), true) == Ready.end())
      return sendLater(Caller);
    std::size_t Vm = Next++ % Vms.size();
    while (!Ready[Vm])
      Vm = Next++ % Vms.size();
    http_request Request;
    Request.Method = "POST";
    Request.Target = "/v1/indexes/index/query?profile=lookup";
    Request.Body = "{}";
    auto SentAt = std::chrono::steady_clock::now();
    Connections[Caller][Vm]->exchange(
        std::move(Request), CallTimeout,
        [this, Caller, Vm, SentAt](const exchange_result &R) {
          auto *Response = std::get_if<http_response>(&R);
          if (!Response)
            noteCut(Vm, SentAt, std::get<exchange_error>(R));
          ++Outcomes[Response ? std::to_string(Response->Status) : "cut"];
          send(Caller);
        });
  }

  void noteCut(std::size_t Vm, std::chrono::steady_clock::time_point SentAt,
               const exchange_error &Error) {
    auto After = [&](std::chrono::steady_clock::time_point Time) {
      auto Span = std::chrono::duration_cast<milliseconds>(Time - Started);
      return std::to_string(Span.count()) + " ms";
    };
    Cuts += "VM " + std::to_string(Vm) + ": sent " + After(SentAt) +
            " after the signal, cut " +
            After(std::chrono::steady_clock::now()) + " after it, " +
            (Error.MayHaveRun ? "may have run" : "not sent") + ", " +
            Error.Text + "; ";
  }

  /// Lets the probes be answered first: on a slow machine none may be.
  void sendLater(unsigned Caller) {
    Waits[Caller]->expires_after(BalancerPoll);
    Waits[Caller]->async_wait([this, Caller](const auto &) { send(Caller); });
  }

  std::vector<std::string> Vms;
  std::vector<bool> Ready;
  boost::asio::io_context Context;
  boost::asio::steady_timer Timer;
  std::vector<std::unique_ptr<boost::asio::steady_timer>> Waits;
  std::vector<std::unique_ptr<http_connection>> Probes;
  std::map<unsigned, std::vector<std::unique_ptr<http_connection>>> Connections;
  std::chrono::steady_clock::time_point End;
  std::chrono::steady_clock::time_point Started;
  std::size_t Next = 0;
};

/// \returns what callers saw while the VMs in \p Leavers got \p Signal.
std::map<std::string, unsigned>
outcomesWhile(test_cluster &Cluster, int Signal,
              const std::vector<std::size_t> &Leavers) {
  Cluster.startAll();
  Cluster.setProfile("lookup",
                     "wait = \"3s\"\ncoverage = 1.0\nmay_repeat = true\n");
  for (std::size_t Vm = 0; Vm < 3; ++Vm)
    cr_assert(Cluster.waitUntil([&] {
      auto Response = Cluster.query(Vm, "lookup");
      return Response && Response->Status == 200;
    }));
  balanced_callers Load({Cluster.callersAddress(0), Cluster.callersAddress(1),
                         Cluster.callersAddress(2)});
  Load.run(milliseconds(2000), [&] {
    for (std::size_t Vm : Leavers)
      Cluster.vm(Vm).signal(Signal);
  });
  if (!Load.Cuts.empty())
    std::fprintf(stderr, "%s\n", Load.Cuts.c_str());
  return Load.Outcomes;
}

cluster_plan planAt(unsigned FirstPort) {
  return {.FirstPort = FirstPort,
          .VmDataCentres = {"dc1", "dc1", "dc1"},
          .UpstreamOptions = {"--service-us", "8000", "--slots", "16"}};
}

void checkLeaving(unsigned FirstPort, const std::vector<std::size_t> &Leavers) {
  test_cluster Cluster(planAt(FirstPort));
  auto Outcomes = outcomesWhile(Cluster, SIGTERM, Leavers);
  for (std::size_t Vm : Leavers)
    cr_assert(Cluster.vm(Vm).waitForExit(std::chrono::seconds(15)) == 0);
  for (const auto &[Outcome, Count] : Outcomes)
    cr_assert(Outcome == "200", "%u requests ended with %s", Count,
              Outcome.c_str());
  cr_assert(Outcomes["200"] > Callers);
}

} // namespace

Test(leaving, one_vm_leaves_under_load_and_no_request_is_cut) {
  checkLeaving(20400, {0});
}

Test(leaving, two_vms_leave_at_once_and_no_request_is_cut) {
  checkLeaving(20500, {0, 1});
}

Test(leaving, the_proof_catches_a_vm_that_does_not_wait_for_its_requests) {
  test_cluster Cluster(planAt(20600));
  cr_assert(outcomesWhile(Cluster, SIGKILL, {0})["cut"] > 0);
}
