#include "masticproxy/src/Ctl/vm_reports.h"

#include "masticproxy/src/Ctl/ctl_error.h"
#include "masticproxy/src/Ctl/ctl_options.h"
#include "masticproxy/src/Net/http_call.h"

using namespace masticproxy;

std::vector<vm_report> masticproxy::askVms(const ctl_options &Options,
                                           std::string_view Target) {
  if (Options.Vms.empty())
    throw ctl_error(ctl_exit::Usage, "--vm ADDRESS[,ADDRESS...] is required");
  std::vector<vm_report> Reports;
  for (const std::string &Vm : Options.Vms) {
    http_request Request;
    Request.Target = std::string(Target);
    exchange_result Result = httpCall(Vm, std::move(Request), Options.Timeout);
    if (auto *Response = std::get_if<http_response>(&Result))
      Reports.push_back({Vm, true, std::move(Response->Body)});
    else
      Reports.push_back({Vm, false, std::get<exchange_error>(Result).Text});
  }
  return Reports;
}
