#include "masticproxy/src/Ctl/vm_reports.h"

#include "masticproxy/src/Ctl/ctl_error.h"
#include "masticproxy/src/Ctl/ctl_options.h"
#include "masticproxy/src/Net/http_connection.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <utility>

using namespace masticproxy;

namespace {

vm_report reportOf(const std::string &Vm, exchange_result Result) {
  if (auto *Response = std::get_if<http_response>(&Result))
    return {Vm, true, std::move(Response->Body)};
  return {Vm, false, std::get<exchange_error>(Result).Text};
}

} // namespace

std::vector<vm_report>
masticproxy::askEach(std::span<const vm_request> Requests,
                     std::chrono::milliseconds Timeout) {
  // All at once: a data centre that is cut off costs one timeout, not one for
  // each of its VMs.
  boost::asio::io_context Context;
  std::vector<vm_report> Reports(Requests.size());
  std::vector<std::unique_ptr<http_connection>> Connections;
  for (std::size_t I = 0; I < Requests.size(); ++I) {
    const std::string &Vm = Requests[I].Vm;
    Connections.push_back(std::make_unique<http_connection>(Context, Vm));
    http_request Request;
    Request.Target = Requests[I].Target;
    Connections[I]->exchange(std::move(Request), Timeout,
                             [&, I](exchange_result Result) {
                               Reports[I] = reportOf(Vm, std::move(Result));
                               Connections[I]->close();
                             });
  }
  Context.run();
  return Reports;
}

std::vector<vm_report> masticproxy::askVms(const ctl_options &Options,
                                           std::string_view Target) {
  if (Options.Vms.empty())
    throw ctl_error(ctl_exit::Usage, "--vm ADDRESS[,ADDRESS...] is required");
  std::vector<vm_request> Requests;
  for (const std::string &Vm : Options.Vms)
    Requests.push_back({Vm, std::string(Target)});
  return askEach(Requests, Options.Timeout);
}
