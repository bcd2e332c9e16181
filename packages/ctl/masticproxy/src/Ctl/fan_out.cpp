#include "masticproxy/src/Ctl/fan_out.h"

#include "masticproxy/src/Ctl/vm_event.h"

#include <map>
#include <utility>

using namespace masticproxy;

namespace {

/// Attempts are numbered by the VM that makes them.
using attempt_key = std::pair<std::string, std::uint64_t>;

attempt_span spanOf(const vm_event &Event) {
  const event_facts &Facts = Event.Facts;
  return {Event.Vm,     Facts.Shard,  Facts.Upstream, Facts.AttemptKind,
          std::nullopt, std::nullopt, "open"};
}

} // namespace

fan_out masticproxy::toFanOut(std::span<const vm_event> Events) {
  fan_out Result;
  std::map<attempt_key, std::size_t> Places;
  for (const vm_event &Event : Events) {
    Result.RequestId = Event.RequestId;
    std::int64_t Time = Event.At.Microseconds - Events.front().At.Microseconds;
    Result.Length = Time;
    if (Event.Kind == "outcome")
      Result.Outcome = Event.Detail;
    if (Event.Facts.Attempt == 0)
      continue;
    auto [Place, New] = Places.try_emplace({Event.Vm, Event.Facts.Attempt},
                                           Result.Attempts.size());
    if (New)
      Result.Attempts.push_back(spanOf(Event));
    attempt_span &Span = Result.Attempts[Place->second];
    if (Event.Facts.End.empty()) {
      Span.Begin = Time;
    } else {
      Span.End = Time;
      Span.Ending = Event.Facts.End;
    }
  }
  return Result;
}
