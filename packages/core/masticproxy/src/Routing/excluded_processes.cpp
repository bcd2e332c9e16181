#include "masticproxy/src/Routing/excluded_processes.h"

#include "masticproxy/src/Query/index_map.h"
#include "masticproxy/src/Query/upstream_status.h"

#include <algorithm>

using namespace masticproxy;

namespace {

/// How long a process is not asked at an address where another one answered.
/// The next attempt finds out anew, as what is listed may have changed.
constexpr std::chrono::seconds MisdirectedMemory{30};

/// How long a leaving process is known: longer than any takes to leave, and
/// less where its next start could have the same name.
constexpr std::chrono::hours LeavingMemory{1};
constexpr std::chrono::seconds UnknownStartMemory{120};

/// Longest pause that an upstream may ask for.
constexpr std::chrono::seconds LongestPause{60};

std::string placeOf(std::string_view Process, std::string_view Address) {
  return std::string(Process) + "@" + std::string(Address);
}

} // namespace

time_point excluded_processes::onStatus(const upstream_status &Status,
                                        time_point Now) {
  record &Record = recordOf(Status.Process, Status.Address, Now);
  if (Status.Leaving)
    Record.LeavingSaidAt = Now;
  if (!Status.RetryAfter)
    return Record.PausedUntil;
  duration Pause = std::min<duration>(*Status.RetryAfter, LongestPause);
  Record.PausedUntil = std::max(Record.PausedUntil, Now + Pause);
  return Record.PausedUntil;
}

void excluded_processes::onMisdirected(std::string_view Process,
                                       std::string_view Address,
                                       time_point Now) {
  recordOf(Process, Address, Now).MisdirectedUntil = Now + MisdirectedMemory;
}

time_point excluded_processes::excludedUntil(const replica &Replica,
                                             time_point Now) const {
  if (Records.empty())
    return {};
  auto Found = Records.find(placeOf(Replica.process(), Replica.Address));
  if (Found == Records.end())
    return {};
  const record &Record = Found->second;
  duration Memory = Replica.StartKnown ? duration(LeavingMemory)
                                       : duration(UnknownStartMemory);
  bool Leaving = Record.LeavingSaidAt != time_point{} &&
                 Now < Record.LeavingSaidAt + Memory;
  if (Leaving)
    return time_point::max();
  return std::max(Record.MisdirectedUntil, Record.PausedUntil);
}

excluded_processes::record &
excluded_processes::recordOf(std::string_view Process, std::string_view Address,
                             time_point Now) {
  std::erase_if(Records, [Now](const auto &Entry) {
    const record &Record = Entry.second;
    return Record.MisdirectedUntil <= Now && Record.PausedUntil <= Now &&
           Record.LeavingSaidAt + LeavingMemory <= Now;
  });
  return Records[placeOf(Process, Address)];
}
