#include "masticproxy/src/Daemon/claims_thread.h"

#include "masticproxy/src/Base/counter_registry.h"
#include "masticproxy/src/Claims/claim_sweep.h"
#include "masticproxy/src/Daemon/error_boundary.h"
#include "masticproxy/src/Net/platform_api.h"

#include <algorithm>
#include <random>

using namespace masticproxy;

namespace {

constexpr std::string_view ClaimKind = "claim";

/// Time between two sweeps of one VM; each pause is spread from half of it to
/// the whole, so that VMs that start together don't sweep together.
constexpr std::chrono::milliseconds SweepInterval = std::chrono::minutes(2);

/// Claim objects that one sweep deletes at most.
constexpr std::size_t SweepLimit = 200;

std::chrono::milliseconds sweepPause() {
  thread_local std::minstd_rand Random{std::random_device{}()};
  std::uniform_int_distribution<std::int64_t> Spread(SweepInterval.count() / 2,
                                                     SweepInterval.count());
  return std::chrono::milliseconds(Spread(Random));
}

create_answer toAnswer(const platform_write_result &Result) {
  if (auto *Written = std::get_if<platform_object>(&Result))
    return claim_created{Written->Version};
  auto *Conflict = std::get_if<platform_conflict>(&Result);
  if (!Conflict || !Conflict->Current)
    return claim_unanswered{};
  return claim_found{Conflict->Current->Value, Conflict->Current->Version};
}

struct verdict_name {
  std::string_view operator()(const claim_granted &) { return "granted"; }
  std::string_view operator()(const claim_taken &) { return "taken"; }
  std::string_view operator()(const claim_too_old &) { return "too_old"; }
  std::string_view operator()(const claim_unconfirmed &) {
    return "unconfirmed";
  }
};

} // namespace

claims_thread::claims_thread(platform_api &Platform, const clock &Clock,
                             std::string Process, claim_timing Timing,
                             counter_registry &Counters)
    : Platform(Platform), Clock(Clock), Timing(Timing), Counters(Counters),
      Claimant(Clock, std::move(Process), Timing),
      Requests(RequestRingCapacity, [this] {
        {
          std::lock_guard<std::mutex> Lock(Mutex);
          Woken = true;
        }
        Wake.notify_all();
      }) {}

claims_thread::~claims_thread() { stop(); }

void claims_thread::start() {
  NextSweep = Clock.now() + sweepPause();
  Thread = std::thread([this] { run(); });
}

void claims_thread::stop() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
  }
  Wake.notify_all();
  if (Thread.joinable())
    Thread.join();
}

void claims_thread::run() {
  for (;;) {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      if (Stopping)
        return;
    }
    runContained(Counters, "claims", [this] { step(); });
  }
}

void claims_thread::step() {
  Requests.drain([this](claim_request Request) {
    if (auto *Wanted = std::get_if<claim_wanted>(&Request))
      Claimant.want(std::move(*Wanted));
    else
      Claimant.release(std::get<claim_unused>(std::move(Request)));
  });
  std::optional<claim_operation> Operation = Claimant.next();
  if (Operation)
    std::visit([this](const auto &O) { carryOut(O); }, *Operation);
  report();
  if (Operation)
    return;
  if (Clock.now() >= NextSweep)
    sweep();
  waitForWork();
}

void claims_thread::waitForWork() {
  time_point Until = NextSweep;
  if (std::optional<time_point> Next = Claimant.nextWakeup())
    Until = std::min(Until, *Next);
  std::unique_lock<std::mutex> Lock(Mutex);
  Wake.wait_until(Lock, Until, [this] { return Woken || Stopping; });
  Woken = false;
}

void claims_thread::carryOut(const create_claim &Operation) {
  Counters.get("platform_calls_total").add();
  create_answer Answer = toAnswer(
      Platform.put(ClaimKind, Operation.RequestId, 0, Operation.Value));
  if (std::holds_alternative<claim_unanswered>(Answer))
    Counters.get("platform_errors_total").add();
  Claimant.answered(Operation, Answer);
}

void claims_thread::carryOut(const remove_claim &Operation) {
  Counters.get("platform_calls_total").add();
  Counters.get("claims_removed_total").add();
  // A claim that stays by a lost call is swept later.
  Platform.remove(ClaimKind, Operation.RequestId, Operation.Version);
}

void claims_thread::sweep() {
  NextSweep = Clock.now() + sweepPause();
  Counters.get("platform_calls_total").add();
  platform_changes_result Result = Platform.list(ClaimKind);
  auto *Listed = std::get_if<platform_changes>(&Result);
  if (!Listed)
    return;
  std::vector<remove_claim> Standing;
  for (const platform_object &Object : Listed->Objects)
    if (!Object.Deleted)
      Standing.push_back({Object.Name, Object.Version});
  for (const remove_claim &Claim :
       sweepClaims(Standing, Clock.wallTime(), Timing, SweepLimit))
    Claimant.release({Claim.RequestId, Claim.Version});
}

void claims_thread::report() {
  for (const claim_decision &Decision : Claimant.takeDecisions()) {
    std::string_view Name = std::visit(verdict_name{}, Decision.Verdict);
    Counters.get("claims_total", "verdict=\"" + std::string(Name) + "\"").add();
    // A full ring drops the decision: the request is then not run at all, and
    // its claim stays until it is swept.
    if (!Engine->push(Decision))
      Counters.get("claim_ring_full_total").add();
  }
}
