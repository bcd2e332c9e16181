#include "masticproxy/src/Relay/relay_router.h"

#include "masticproxy/src/Query/index_map.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

using namespace masticproxy;

namespace {

/// Attempts open at one VM; one more waits or goes elsewhere.
constexpr unsigned MaxInFlight = 256;

/// VMs, first by rendezvous hash, among which the least busy is chosen: few,
/// so that few connections are opened, and more than one, so that a slow VM
/// does not hold a shard up.
constexpr std::size_t Choices = 2;

/// How long a VM that refused gets no new work.
constexpr std::chrono::milliseconds RefusalPause{20};

/// How long a VM that is leaving gets no new work.
constexpr std::chrono::seconds LeavingPause{10};

/// How long a VM gets no new work after its first failure; doubles with each
/// one that follows.
constexpr std::chrono::milliseconds FirstFailurePause{250};

/// Doublings after which the pause grows no more.
constexpr unsigned MaxDoublings = 5;

std::uint64_t weight(std::string_view Vm, std::string_view Shard) {
  XXH64_hash_t Seed = XXH64(Shard.data(), Shard.size(), 0);
  return XXH64(Vm.data(), Vm.size(), Seed);
}

bool hasReplicaIn(const shard &Shard, std::string_view DataCentre) {
  return std::any_of(
      Shard.Replicas.begin(), Shard.Replicas.end(),
      [&](const replica &R) { return R.DataCentre == DataCentre; });
}

} // namespace

void relay_router::setRemotes(std::vector<member_info> NewRemotes) {
  Remotes = std::move(NewRemotes);
  std::erase_if(States, [this](const auto &Entry) {
    bool Listed =
        std::any_of(Remotes.begin(), Remotes.end(), [&](const member_info &Vm) {
          return Vm.Name == Entry.first;
        });
    return !Listed && Entry.second.InFlight == 0;
  });
}

const member_info *relay_router::choose(const shard &Shard,
                                        std::span<const std::string> Tried,
                                        time_point Now) const {
  std::vector<std::pair<std::uint64_t, const member_info *>> Ranked;
  for (const member_info &Vm : Remotes) {
    bool WasTried =
        std::find(Tried.begin(), Tried.end(), Vm.Name) != Tried.end();
    if (!WasTried && hasReplicaIn(Shard, Vm.DataCentre) && usable(Vm, Now))
      Ranked.emplace_back(weight(Vm.Name, Shard.Id), &Vm);
  }
  std::size_t Count = std::min(Choices, Ranked.size());
  auto Middle = Ranked.begin() + static_cast<std::ptrdiff_t>(Count);
  std::partial_sort(
      Ranked.begin(), Middle, Ranked.end(),
      [](const auto &A, const auto &B) { return A.first > B.first; });
  auto Best = std::min_element(
      Ranked.begin(), Middle, [this](const auto &A, const auto &B) {
        return inFlight(A.second->Name) < inFlight(B.second->Name);
      });
  return Best == Middle ? nullptr : Best->second;
}

void relay_router::attemptStarted(std::string_view Vm) {
  ++States.try_emplace(std::string(Vm)).first->second.InFlight;
}

void relay_router::attemptAnswered(std::string_view Vm) {
  endAttempt(Vm).Failures = 0;
}

void relay_router::attemptFailed(std::string_view Vm, relay_end End,
                                 time_point Now) {
  vm_state &State = endAttempt(Vm);
  switch (End) {
  case relay_end::Unknown:
    // The VM is well; it was an upstream of its that failed.
    return;
  case relay_end::Refused:
  case relay_end::RefusedSnapshot:
    State.AvoidUntil = std::max(State.AvoidUntil, Now + RefusalPause);
    return;
  case relay_end::RefusedLeaving:
    State.AvoidUntil = Now + LeavingPause;
    return;
  case relay_end::NotSent:
  case relay_end::ConnectionLost:
  case relay_end::Silent:
    break;
  }
  // Attempts that are lost together are one failure.
  if (Now < State.AvoidUntil)
    return;
  unsigned Doublings = std::min(State.Failures++, MaxDoublings);
  State.AvoidUntil = Now + FirstFailurePause * (1U << Doublings);
}

bool relay_router::usable(const member_info &Vm, time_point Now) const {
  if (Vm.State == member_state::Leaving || Vm.State == member_state::Dead)
    return false;
  auto Found = States.find(Vm.Name);
  if (Found == States.end())
    return true;
  return Found->second.InFlight < MaxInFlight &&
         Now >= Found->second.AvoidUntil;
}

unsigned relay_router::inFlight(std::string_view Vm) const {
  auto Found = States.find(Vm);
  return Found == States.end() ? 0 : Found->second.InFlight;
}

relay_router::vm_state &relay_router::endAttempt(std::string_view Vm) {
  vm_state &State = States.try_emplace(std::string(Vm)).first->second;
  if (State.InFlight > 0)
    --State.InFlight;
  return State;
}
