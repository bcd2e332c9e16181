#include "masticproxy/src/Ctl/vm_event.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>
#include <tuple>

using namespace masticproxy;

namespace {

vm_event toEvent(const nlohmann::json &Object) {
  vm_event Event;
  Event.At = {Object.value("us", std::int64_t{0}),
              Object.value("counter", std::uint32_t{0})};
  Event.Kind = Object.value("kind", "");
  Event.RequestId = Object.value("request_id", "");
  Event.Detail = Object.value("detail", "");
  Event.Facts.Attempt = Object.value("attempt", std::uint64_t{0});
  Event.Facts.Shard = Object.value("shard", "");
  Event.Facts.Upstream = Object.value("upstream", "");
  Event.Facts.AttemptKind = Object.value("attempt_kind", "");
  Event.Facts.End = Object.value("end", "");
  Event.Facts.Profile = Object.value("profile", "");
  Event.Vm = Object.value("vm", "");
  Event.Line = Object.dump();
  return Event;
}

} // namespace

std::vector<vm_event> masticproxy::readVmEvents(const std::string &Lines) {
  std::vector<vm_event> Events;
  std::istringstream In(Lines);
  for (std::string Line; std::getline(In, Line);) {
    nlohmann::json Object = nlohmann::json::parse(Line, nullptr, false);
    if (Object.is_object() && Object.contains("us"))
      Events.push_back(toEvent(Object));
  }
  return Events;
}

void masticproxy::sortByTime(std::vector<vm_event> &Events) {
  std::stable_sort(Events.begin(), Events.end(),
                   [](const vm_event &A, const vm_event &B) {
                     return std::tie(A.At.Microseconds, A.At.Counter, A.Vm) <
                            std::tie(B.At.Microseconds, B.At.Counter, B.Vm);
                   });
}
