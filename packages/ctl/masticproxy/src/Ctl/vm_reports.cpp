#include "masticproxy/src/Ctl/vm_reports.h"

#include "masticproxy/src/Ctl/ctl_error.h"
#include "masticproxy/src/Ctl/ctl_options.h"
#include "masticproxy/src/Net/http_call.h"

using namespace masticproxy;

vm_report masticproxy::askVm(const std::string &Vm, std::string_view Target,
                             std::chrono::milliseconds Timeout) {
  http_request Request;
  Request.Target = std::string(Target);
  exchange_result Result = httpCall(Vm, std::move(Request), Timeout);
  if (auto *Response = std::get_if<http_response>(&Result))
    return {Vm, true, std::move(Response->Body)};
  return {Vm, false, std::get<exchange_error>(Result).Text};
}

std::vector<vm_report> masticproxy::askVms(const ctl_options &Options,
                                           std::string_view Target) {
  if (Options.Vms.empty())
    throw ctl_error(ctl_exit::Usage, "--vm ADDRESS[,ADDRESS...] is required");
  std::vector<vm_report> Reports;
  for (const std::string &Vm : Options.Vms)
    Reports.push_back(askVm(Vm, Target, Options.Timeout));
  return Reports;
}
