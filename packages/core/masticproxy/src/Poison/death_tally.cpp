#include "masticproxy/src/Poison/death_tally.h"

#include <algorithm>
#include <utility>

using namespace masticproxy;
using std::chrono::milliseconds;

namespace {

/// Processes that are kept; a query is condemned after two deaths.
constexpr std::size_t MaxProcesses = 4;

/// Far more half rounds than make a difference, so that sums stay small.
constexpr std::uint64_t MaxHalfRounds = 1000;

bool shareProcess(const death_tally &A, const death_tally &B) {
  return std::any_of(A.Processes.begin(), A.Processes.end(),
                     [&B](const std::string &Process) {
                       return std::find(B.Processes.begin(), B.Processes.end(),
                                        Process) != B.Processes.end();
                     });
}

/// The processes tell deaths apart where the clocks of two VMs differ; the
/// times do where attempts of one query ran at the same time.
bool areSeparate(const death_tally &A, const death_tally &B) {
  if (A.Processes.empty() || B.Processes.empty() || shareProcess(A, B))
    return false;
  return A.LastDeath < B.FirstStarted || B.LastDeath < A.FirstStarted;
}

} // namespace

death_tally death_tally::of(const poison_notice &Notice, time_point Now) {
  time_point LastDeath = Now - Notice.Age;
  return {Notice.halfRounds(), LastDeath - Notice.Span, LastDeath,
          Notice.Processes};
}

poison_notice death_tally::toNotice(query_fingerprint Fingerprint,
                                    std::string Shard, time_point Now) const {
  poison_notice Notice{Fingerprint, rounds(), std::move(Shard)};
  Notice.Age = std::chrono::duration_cast<milliseconds>(Now - LastDeath);
  Notice.HalfRound = HalfRounds % WholeRound != 0;
  Notice.Span =
      std::chrono::duration_cast<milliseconds>(LastDeath - FirstStarted);
  Notice.Processes = Processes;
  return Notice;
}

bool death_tally::hasSeen(const upstream_attempt &Attempt) const {
  // Where only the address names a process, the next one there has its name.
  bool HasIdentity =
      !Attempt.Address.empty() && Attempt.Process != Attempt.Address;
  return HasIdentity && std::find(Processes.begin(), Processes.end(),
                                  Attempt.Process) != Processes.end();
}

void death_tally::addProcess(std::string_view Process) {
  if (Process.empty())
    return;
  std::erase(Processes, Process);
  if (Processes.size() == MaxProcesses)
    Processes.erase(Processes.begin());
  Processes.emplace_back(Process);
}

void death_tally::merge(const death_tally &Other) {
  if (Other.HalfRounds == 0)
    return;
  if (HalfRounds == 0) {
    *this = Other;
    return;
  }
  bool Separate = areSeparate(*this, Other);
  HalfRounds = Separate ? HalfRounds + Other.HalfRounds
                        : std::max(HalfRounds, Other.HalfRounds);
  HalfRounds = std::min(HalfRounds, MaxHalfRounds);
  FirstStarted = std::min(FirstStarted, Other.FirstStarted);
  LastDeath = std::max(LastDeath, Other.LastDeath);
  for (const std::string &Process : Other.Processes)
    addProcess(Process);
}
