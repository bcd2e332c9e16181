#include "masticproxy/src/Ctl/timeline_printer.h"

#include "masticproxy/src/Ctl/time_text.h"
#include "masticproxy/src/Ctl/timeline_reader.h"
#include "masticproxy/src/Ctl/vm_event.h"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <ostream>

using namespace masticproxy;

namespace {

constexpr int VmWidth = 12;
constexpr int KindWidth = 24;
constexpr int TimeWidth = 12;
constexpr double MicrosecondsPerMillisecond = 1000.0;

} // namespace

void timeline_printer::print(const vm_event &Event) {
  if (Json) {
    Out << Event.Line << "\n";
    return;
  }
  if (!First) {
    First = Event.At.Microseconds;
    Out << "milliseconds after the first event, at "
        << wallTimeText(std::chrono::microseconds(*First)) << "\n";
  }
  double Milliseconds = static_cast<double>(Event.At.Microseconds - *First) /
                        MicrosecondsPerMillisecond;
  Out << std::right << std::fixed << std::setprecision(3)
      << std::setw(TimeWidth) << Milliseconds << "  " << std::left
      << std::setw(VmWidth) << Event.Vm << std::setw(KindWidth) << Event.Kind
      << Event.RequestId << "  " << Event.Detail << "\n";
}

void timeline_printer::print(const vm_change &Change) {
  if (Json)
    Out << nlohmann::json({{"kind", Change.Answers ? "vm_answers"
                                                   : "vm_stopped_answering"},
                           {"address", Change.Vm},
                           {"detail", Change.Reason}})
               .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
        << "\n";
  else if (Change.Answers)
    Out << "-- " << Change.Vm << " begins to answer\n";
  else
    Out << "-- " << Change.Vm << " does not answer: " << Change.Reason << "\n";
}
