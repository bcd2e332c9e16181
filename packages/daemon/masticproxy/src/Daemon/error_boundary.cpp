#include "masticproxy/src/Daemon/error_boundary.h"

#include "masticproxy/src/Base/counter_registry.h"
#include "masticproxy/src/Daemon/daemon_log.h"

#include <string>

using namespace masticproxy;

void masticproxy::recordContained(counter_registry &Counters,
                                  std::string_view Where,
                                  const std::exception &Error) {
  std::string Duty(Where);
  Counters.get("errors_contained_total", "duty=\"" + Duty + "\"").add();
  logError("event=error_contained duty=" + Duty + " reason=\"" + Error.what() +
           "\"");
}
