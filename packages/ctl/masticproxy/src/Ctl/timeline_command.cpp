#include "masticproxy/src/Ctl/timeline_command.h"

#include "masticproxy/src/Ctl/ctl_error.h"
#include "masticproxy/src/Ctl/ctl_options.h"
#include "masticproxy/src/Ctl/event_filter.h"
#include "masticproxy/src/Ctl/fan_out.h"
#include "masticproxy/src/Ctl/text_file.h"
#include "masticproxy/src/Ctl/timeline_printer.h"
#include "masticproxy/src/Ctl/timeline_reader.h"
#include "masticproxy/src/Ctl/waterfall_svg.h"
#include "masticproxy/src/Ctl/waterfall_text.h"
#include "masticproxy/src/Net/os_clock.h"

#include <algorithm>
#include <ostream>
#include <thread>

using namespace masticproxy;

namespace {

constexpr std::chrono::milliseconds FollowPoll{500};

timeline_reader readerFor(const ctl_options &Options) {
  if (Options.Vms.empty())
    throw ctl_error(ctl_exit::Usage, "--vm ADDRESS[,ADDRESS...] is required");
  return {Options.Vms, Options.RequestId,
          [&Options](std::span<const vm_request> Requests) {
            return askEach(Requests, Options.Timeout);
          }};
}

/// Names the VMs without events after a text about those with.
void reportUnreached(const timeline_reader &Reader) {
  std::string Unreached;
  for (const std::string &Vm : Reader.unreached())
    Unreached += " " + Vm;
  if (!Unreached.empty())
    throw ctl_error(ctl_exit::Unreachable, "no events from:" + Unreached);
}

void showFanOut(const ctl_options &Options, timeline_reader &Reader,
                std::ostream &Out) {
  fan_out Request = toFanOut(Reader.read().Events);
  Request.Unreached = Reader.unreached();
  if (Request.Attempts.empty()) {
    Out << "no attempts of request " << Options.RequestId << "\n";
    reportUnreached(Reader);
    throw ctl_error(ctl_exit::Unreachable,
                    "no VM named has attempts of this request");
  }
  if (Options.Timeline.Waterfall)
    Out << waterfallText(Request);
  if (const std::string &Path = Options.Timeline.SvgFile; !Path.empty()) {
    writeTextFile(Path, waterfallSvg(Request));
    Out << "wrote " << Path << "\n";
  }
}

void printEvents(const timeline_batch &Batch, event_filter &Filter,
                 timeline_printer &Printer) {
  for (const vm_event &Event : Batch.Events)
    Filter.learn(Event);
  for (const vm_event &Event : Batch.Events)
    if (Filter.matches(Event))
      Printer.print(Event);
}

void follow(const ctl_options &Options, timeline_reader &Reader,
            event_filter &Filter, std::ostream &Out) {
  const os_clock Clock;
  timeline_printer Printer(Out, Options.Json);
  time_point End = time_point::max();
  if (Options.Timeline.For)
    End = Clock.now() + *Options.Timeline.For;
  for (;;) {
    bool Last = Clock.now() >= End;
    timeline_batch Batch = Reader.read();
    for (const vm_change &Change : Batch.Changes)
      Printer.print(Change);
    printEvents(Batch, Filter, Printer);
    Out.flush();
    if (Last)
      return;
    std::this_thread::sleep_until(std::min(End, Clock.now() + FollowPoll));
  }
}

} // namespace

void masticproxy::runTimelineCommand(const ctl_options &Options,
                                     std::ostream &Out) {
  checkTimelineOptions(Options);
  timeline_reader Reader = readerFor(Options);
  const timeline_options &Timeline = Options.Timeline;
  event_filter Filter(Options, os_clock().wallTime());
  if (Timeline.Waterfall || !Timeline.SvgFile.empty()) {
    showFanOut(Options, Reader, Out);
  } else if (Timeline.Follow) {
    follow(Options, Reader, Filter, Out);
  } else {
    timeline_printer Printer(Out, Options.Json);
    printEvents(Reader.read(), Filter, Printer);
  }
  reportUnreached(Reader);
}
