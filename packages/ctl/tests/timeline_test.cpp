/// \file
/// Events of several VMs: order, filters, reading on, and VMs that are away.

#include "masticproxy/Ctl"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <random>
#include <sstream>

using namespace masticproxy;
using std::chrono::microseconds;

namespace {

constexpr std::int64_t Now = 10'000'000;

vm_event event(std::int64_t Time, std::string Vm, std::string Kind,
               std::string RequestId = "") {
  vm_event Event;
  Event.At = {Time, 0};
  Event.Vm = std::move(Vm);
  Event.Kind = std::move(Kind);
  Event.RequestId = std::move(RequestId);
  return Event;
}

/// \returns the kinds that pass \p Options, in order.
std::string chosen(const ctl_options &Options,
                   const std::vector<vm_event> &Events) {
  event_filter Filter(Options, microseconds(Now));
  for (const vm_event &Event : Events)
    Filter.learn(Event);
  std::string Kinds;
  for (const vm_event &Event : Events)
    if (Filter.matches(Event))
      Kinds += Event.Kind + " ";
  return Kinds;
}

std::vector<vm_event> twoRequests() {
  std::vector<vm_event> Events{event(1'000'000, "a", "arrived1", "1"),
                               event(2'000'000, "a", "arrived2", "2"),
                               event(3'000'000, "b", "sent1", "1"),
                               event(4'000'000, "b", "other"),
                               event(5'000'000, "a", "end2", "2")};
  Events[0].Facts.Profile = "p";
  Events[1].Facts.Profile = "q";
  Events[2].Facts.Upstream = "u";
  return Events;
}

std::string line(std::int64_t Time, unsigned Counter, const std::string &Kind) {
  return R"({"us":)" + std::to_string(Time) + R"(,"counter":)" +
         std::to_string(Counter) + R"(,"vm":"v","kind":")" + Kind + "\"}\n";
}

/// VMs that answer as a test has set them.
struct scripted_vms {
  std::map<std::string, std::string> Lines;
  std::vector<std::string> Targets;

  vm_report ask(const std::string &Vm, const std::string &Target) {
    Targets.push_back(Target);
    auto Found = Lines.find(Vm);
    if (Found == Lines.end())
      return {Vm, false, "refused"};
    return {Vm, true, Found->second};
  }

  timeline_reader reader(const std::vector<std::string> &Vms,
                         const std::string &RequestId = "") {
    return {Vms, RequestId, [this](std::span<const vm_request> Requests) {
              std::vector<vm_report> Reports;
              for (const vm_request &Request : Requests)
                Reports.push_back(ask(Request.Vm, Request.Target));
              return Reports;
            }};
  }
};

std::string kindsOf(const timeline_batch &Batch) {
  std::string Kinds;
  for (const vm_event &Event : Batch.Events)
    Kinds += Event.Kind + " ";
  return Kinds;
}

} // namespace

Test(filters, choose_by_each_fact) {
  std::vector<vm_event> Events = twoRequests();
  ctl_options Options;
  cr_assert(chosen(Options, Events) == "arrived1 arrived2 sent1 other end2 ");
  Options.RequestId = "1";
  cr_assert(chosen(Options, Events) == "arrived1 sent1 ");
  Options = {};
  Options.Timeline.Kinds = {"sent1", "end2"};
  cr_assert(chosen(Options, Events) == "sent1 end2 ");
  Options = {};
  Options.Timeline.VmName = "b";
  cr_assert(chosen(Options, Events) == "sent1 other ");
  Options = {};
  Options.Timeline.Upstream = "u";
  cr_assert(chosen(Options, Events) == "sent1 ");
}

Test(filters, by_profile_choose_all_events_of_its_requests) {
  ctl_options Options;
  Options.Profile = "p";
  cr_assert(chosen(Options, twoRequests()) == "arrived1 sent1 ");
  Options.Timeline.VmName = "b";
  cr_assert(chosen(Options, twoRequests()) == "sent1 ");
  Options.Profile = "none";
  cr_assert(chosen(Options, twoRequests()).empty());
}

Test(filters, by_time_take_spans_and_wall_time_with_both_ends) {
  ctl_options Options;
  Options.Timeline.Since = "7s";
  cr_assert(chosen(Options, twoRequests()) == "sent1 other end2 ");
  Options.Timeline.Until = "1970-01-01T00:00:04Z";
  cr_assert(chosen(Options, twoRequests()) == "sent1 other ");
  Options.Timeline.Since = "1970-01-01T00:00:04Z";
  cr_assert(chosen(Options, twoRequests()) == "other ");
}

Test(order, is_that_of_the_hybrid_times_in_whatever_order_they_come) {
  // b's clock is 5 ms behind a's: what a caused there still stands after it.
  std::vector<vm_event> Events{
      event(1000, "a", "1"), event(1000, "a", "2"), event(1000, "b", "3"),
      event(1001, "a", "4"), event(6000, "b", "5"),
  };
  Events[1].At.Counter = 1;
  Events[2].At.Counter = 2;
  std::mt19937 Draw(1);
  for (int I = 0; I < 50; ++I) {
    std::shuffle(Events.begin(), Events.end(), Draw);
    sortByTime(Events);
    std::string Kinds;
    for (const vm_event &Event : Events)
      Kinds += Event.Kind;
    cr_assert(Kinds == "12345", "%s", Kinds.c_str());
  }
}

Test(reading, gives_each_event_once_and_asks_for_new_ones_only) {
  scripted_vms Vms;
  timeline_reader Reader = Vms.reader({"x", "y", "x"}, "r 1");
  Vms.Lines["x"] = line(5, 0, "x5") + line(7, 0, "x7");
  Vms.Lines["y"] = line(6, 0, "y6") + "no event\n[]\n{}\n";
  cr_assert(kindsOf(Reader.read()) == "x5 y6 x7 ");
  cr_assert(Vms.Targets.size() == 2);
  cr_assert(Vms.Targets[0] == "/v1/timeline?from=0&request=r%201");
  Vms.Lines["x"] = line(7, 0, "x7") + line(7, 1, "x7b") + line(9, 0, "x9");
  // Older than what the other VM showed, but new here.
  Vms.Lines["y"] = line(6, 0, "y6") + line(6, 1, "y6b");
  cr_assert(kindsOf(Reader.read()) == "y6b x7b x9 ");
  cr_assert(Vms.Targets[2].find("from=7&") != std::string::npos);
  cr_assert(kindsOf(Reader.read()).empty());
}

Test(reading, tells_which_vms_stop_and_begin_to_answer) {
  scripted_vms Vms;
  Vms.Lines["x"] = line(5, 0, "x5");
  timeline_reader Reader = Vms.reader({"x", "y"});
  timeline_batch First = Reader.read();
  cr_assert(kindsOf(First) == "x5 ");
  cr_assert(First.Changes.size() == 1 && First.Changes[0].Vm == "y" &&
            !First.Changes[0].Answers && First.Changes[0].Reason == "refused");
  cr_assert(Reader.unreached() == std::vector<std::string>{"y"});
  cr_assert(Reader.read().Changes.empty());
  Vms.Lines["y"] = line(1, 0, "y1");
  Vms.Lines.erase("x");
  timeline_batch Second = Reader.read();
  cr_assert(kindsOf(Second) == "y1 ");
  cr_assert(Second.Changes.size() == 2);
  cr_assert(!Second.Changes[0].Answers && Second.Changes[1].Answers);
  cr_assert(Reader.unreached() == std::vector<std::string>{"x"});
}

Test(printing, tells_events_and_changes_as_rows_and_as_json) {
  std::ostringstream Rows;
  timeline_printer Printer(Rows, /*Json=*/false);
  Printer.print(event(1'000'000, "a", "one", "r"));
  Printer.print(event(1'001'500, "b", "two", "r"));
  Printer.print(vm_change{"x:1", false, "refused"});
  Printer.print(vm_change{"x:1", true, ""});
  std::string Text = Rows.str();
  cr_assert(Text.starts_with("milliseconds after the first event, at "
                             "1970-01-01T00:00:01.000000Z\n"));
  cr_assert(Text.find("1.500  b           two") != std::string::npos);
  cr_assert(Text.ends_with("-- x:1 does not answer: refused\n"
                           "-- x:1 begins to answer\n"));
  std::ostringstream Lines;
  timeline_printer(Lines, /*Json=*/true).print(vm_change{"x:1", false, "\xff"});
  cr_assert(Lines.str().find("\"kind\":\"vm_stopped_answering\"") !=
            std::string::npos);
}
