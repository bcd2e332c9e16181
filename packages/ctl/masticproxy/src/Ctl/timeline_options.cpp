#include "masticproxy/src/Ctl/timeline_options.h"

#include "masticproxy/src/Base/comma_list.h"
#include "masticproxy/src/Ctl/ctl_error.h"
#include "masticproxy/src/Ctl/ctl_options.h"
#include "masticproxy/src/Ctl/time_text.h"

using namespace masticproxy;
using std::chrono::microseconds;

namespace {

[[noreturn]] void refuse(const std::string &Text) {
  throw ctl_error(ctl_exit::Usage, Text);
}

std::vector<std::string> kindsIn(const std::string &Text) {
  std::vector<std::string> Kinds = splitCommaList(Text);
  std::erase(Kinds, "");
  if (Kinds.empty())
    refuse("--kind needs the name of a kind of event");
  return Kinds;
}

std::string nameIn(const std::string &Option, const std::string &Text) {
  if (Text.empty())
    refuse(Option + " needs a value");
  return Text;
}

microseconds spanIn(const std::string &Option, const std::string &Text) {
  std::optional<microseconds> Span = readSpan(Text);
  if (!Span)
    refuse(Option + " needs a span such as 500ms, 10s, 5min or 1h, not \"" +
           Text + "\"");
  return *Span;
}

bool chooses(const ctl_options &Options) {
  const timeline_options &T = Options.Timeline;
  return !T.Kinds.empty() || !T.VmName.empty() || !T.Upstream.empty() ||
         !T.Since.empty() || !T.Until.empty() || !Options.Profile.empty();
}

void checkWaterfall(const ctl_options &Options) {
  if (Options.RequestId.empty())
    refuse("--waterfall and --svg show one request: --request ID is required");
  if (chooses(Options))
    refuse("--waterfall and --svg show a whole request: of the filters they "
           "take --request only");
  if (Options.Timeline.Follow)
    refuse("--follow can't go with --waterfall or --svg");
  if (Options.Json)
    refuse("--json can't go with --waterfall or --svg");
}

} // namespace

bool masticproxy::takeTimelineOption(int Code, const char *Text,
                                     timeline_options &Into) {
  switch (Code) {
  case KindOption:
    Into.Kinds = kindsIn(Text);
    return true;
  case VmNameOption:
    Into.VmName = nameIn("--vm-name", Text);
    return true;
  case UpstreamOption:
    Into.Upstream = nameIn("--upstream", Text);
    return true;
  case SinceOption:
    instantOf("--since", Text, microseconds(0));
    Into.Since = Text;
    return true;
  case UntilOption:
    instantOf("--until", Text, microseconds(0));
    Into.Until = Text;
    return true;
  case FollowOption:
    Into.Follow = true;
    return true;
  case ForOption:
    Into.For = spanIn("--for", Text);
    return true;
  case WaterfallOption:
    Into.Waterfall = true;
    return true;
  case SvgOption:
    Into.SvgFile = nameIn("--svg", Text);
    return true;
  default:
    return false;
  }
}

void masticproxy::checkTimelineOptions(const ctl_options &Options) {
  const timeline_options &T = Options.Timeline;
  if (T.Waterfall || !T.SvgFile.empty())
    checkWaterfall(Options);
  if (T.For && !T.Follow)
    refuse("--for needs --follow");
  if (T.Follow && !T.Until.empty())
    refuse("--follow can't go with --until; --for ends it");
}

microseconds masticproxy::instantOf(const std::string &Option,
                                    const std::string &Text, microseconds Now) {
  if (std::optional<microseconds> Span = readSpan(Text))
    return Now - *Span;
  if (std::optional<microseconds> Time = readWallTime(Text))
    return *Time;
  refuse(Option +
         " needs a span back from now such as 500ms, 10s, 5min or 1h, "
         "or a wall time such as 2026-12-04T11:30:00Z, not \"" +
         Text + "\"");
}
