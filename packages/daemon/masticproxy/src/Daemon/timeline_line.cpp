#include "masticproxy/src/Daemon/timeline_line.h"

#include "masticproxy/src/Net/timeline_event.h"

#include <nlohmann/json.hpp>

using namespace masticproxy;

std::string masticproxy::timelineLine(const timeline_event &Event,
                                      std::string_view Vm) {
  nlohmann::json Line = {{"us", Event.At.Microseconds},
                         {"counter", Event.At.Counter},
                         {"vm", Vm},
                         {"kind", Event.Kind},
                         {"request_id", Event.RequestId},
                         {"detail", Event.Detail}};
  const event_facts &Facts = Event.Facts;
  if (Facts.Attempt != 0)
    Line["attempt"] = Facts.Attempt;
  auto Add = [&](const char *Key, const std::string &Text) {
    if (!Text.empty())
      Line[Key] = Text;
  };
  Add("shard", Facts.Shard);
  Add("upstream", Facts.Upstream);
  Add("attempt_kind", Facts.AttemptKind);
  Add("end", Facts.End);
  Add("profile", Facts.Profile);
  return Line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n";
}
