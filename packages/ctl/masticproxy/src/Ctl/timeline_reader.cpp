#include "masticproxy/src/Ctl/timeline_reader.h"

#include "masticproxy/src/Net/http_message.h"

#include <algorithm>
#include <set>

using namespace masticproxy;

timeline_reader::timeline_reader(const std::vector<std::string> &Addresses,
                                 std::string RequestId, fetch Fetch)
    : RequestId(std::move(RequestId)), Fetch(std::move(Fetch)) {
  // An address named twice would give its events twice.
  for (const std::string &Address :
       std::set<std::string>(Addresses.begin(), Addresses.end()))
    Vms.push_back({Address});
}

timeline_batch timeline_reader::read() {
  std::vector<vm_request> Requests;
  for (const vm_state &Vm : Vms)
    Requests.push_back({Vm.Address, targetFor(Vm)});
  std::vector<vm_report> Reports = Fetch(Requests);
  timeline_batch Batch;
  for (std::size_t I = 0; I < Vms.size(); ++I)
    take(Reports[I], Vms[I], Batch);
  sortByTime(Batch.Events);
  return Batch;
}

std::vector<std::string> timeline_reader::unreached() const {
  std::vector<std::string> Addresses;
  for (const vm_state &Vm : Vms)
    if (!Vm.Answers)
      Addresses.push_back(Vm.Address);
  return Addresses;
}

void timeline_reader::take(const vm_report &Report, vm_state &Vm,
                           timeline_batch &Into) {
  if (Report.Reached != Vm.Answers)
    Into.Changes.push_back(
        {Vm.Address, Report.Reached, Report.Reached ? "" : Report.Text});
  Vm.Answers = Report.Reached;
  if (!Report.Reached)
    return;
  // A VM stamps its events in the order in which it shows them, so all after
  // the newest one known are new.
  hybrid_time Known = Vm.Newest;
  for (vm_event &Event : readVmEvents(Report.Text)) {
    if (!(Known < Event.At))
      continue;
    Vm.Newest = std::max(Vm.Newest, Event.At);
    Into.Events.push_back(std::move(Event));
  }
}

std::string timeline_reader::targetFor(const vm_state &Vm) const {
  std::string Target =
      "/v1/timeline?from=" +
      std::to_string(std::max<std::int64_t>(Vm.Newest.Microseconds, 0));
  if (!RequestId.empty())
    Target += "&request=" + percentEncoded(RequestId);
  return Target;
}
