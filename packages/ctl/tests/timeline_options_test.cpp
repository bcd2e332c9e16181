/// \file
/// Options of `masticctl timeline`: what is taken, what is refused and how.

#include "masticproxy/Ctl"

#include <criterion/criterion.h>

#include <sstream>

using namespace masticproxy;
using std::chrono::microseconds;

namespace {

ctl_options read(std::vector<std::string> Words) {
  std::vector<char *> Args;
  Words.insert(Words.begin(), {"masticctl", "timeline", "--vm", "a"});
  Args.reserve(Words.size());
  for (std::string &Word : Words)
    Args.push_back(Word.data());
  return readCtlOptions(static_cast<int>(Args.size()), Args.data());
}

/// \returns the message for \p Words, which end with exit code 2.
std::string refusalOf(const std::vector<std::string> &Words) {
  try {
    std::ostringstream Out;
    runTimelineCommand(read(Words), Out);
  } catch (const ctl_error &Error) {
    cr_assert(Error.exitCode() == ctl_exit::Usage, "%s", Error.what());
    return Error.what();
  }
  return "not refused";
}

bool refused(const std::vector<std::string> &Words, const std::string &Part) {
  return refusalOf(Words).find(Part) != std::string::npos;
}

} // namespace

Test(timeline_options, are_taken) {
  ctl_options Options = read({"--kind", "outcome,attempt_failed", "--vm-name",
                              "vm-1", "--upstream", "u", "--since", "10s",
                              "--until", "2026-12-04T11:30:00Z", "--follow",
                              "--for", "5min", "--waterfall", "--svg", "f"});
  const timeline_options &Timeline = Options.Timeline;
  cr_assert(Options.Vms == std::vector<std::string>{"a"});
  cr_assert(Timeline.Kinds ==
            std::vector<std::string>({"outcome", "attempt_failed"}));
  cr_assert(Timeline.VmName == "vm-1" && Timeline.Upstream == "u");
  cr_assert(Timeline.Since == "10s" && Timeline.Follow && Timeline.Waterfall);
  cr_assert(Timeline.For == microseconds(300'000'000));
  cr_assert(Timeline.SvgFile == "f");
}

Test(timeline_options, that_are_wrong_are_named_with_what_is_right) {
  cr_assert(refused({"--since", "yesterday"}, "--since needs a span"));
  cr_assert(refused({"--since", ""}, "2026-12-04T11:30:00Z"));
  cr_assert(refused({"--until", "10"}, "not \"10\""));
  cr_assert(refused({"--until", "2026-13-04T11:30:00Z"}, "--until needs"));
  cr_assert(refused({"--follow", "--for", "-1s"}, "--for needs a span"));
  cr_assert(refused({"--kind", ","}, "--kind needs"));
  cr_assert(refused({"--vm-name", ""}, "--vm-name needs"));
  cr_assert(refused({"--upstream", ""}, "--upstream needs"));
  cr_assert(refused({"--svg", ""}, "--svg needs"));
  cr_assert(refused({"--svg"}, "unknown or incomplete option"));
}

Test(timeline_options, that_do_not_go_together_are_refused) {
  cr_assert(refused({"--waterfall"}, "--request ID is required"));
  cr_assert(refused({"--svg", "f"}, "--request ID is required"));
  cr_assert(refused({"--waterfall", "--request", "r", "--kind", "k"},
                    "--request only"));
  cr_assert(refused({"--waterfall", "--request", "r", "--profile", "p"},
                    "--request only"));
  cr_assert(refused({"--svg", "f", "--request", "r", "--follow"}, "--follow"));
  cr_assert(refused({"--svg", "f", "--request", "r", "--json"}, "--json"));
  cr_assert(refused({"--for", "1s"}, "--for needs --follow"));
  cr_assert(refused({"--follow", "--until", "1s"}, "--until"));
  cr_assert(refused({"--since", "1s", "--until", "2s"}, "later than --until"));
}

Test(times, are_spans_with_a_unit) {
  cr_assert(readSpan("250ms") == microseconds(250'000));
  cr_assert(readSpan("0s") == microseconds(0));
  cr_assert(readSpan("2min") == std::chrono::minutes(2));
  cr_assert(readSpan("999999999h") == std::chrono::hours(999999999));
  for (const char *Wrong :
       {"", "5", "s", "5 s", "-5s", "1.5s", "5S", "5us", "9999999999s", "5ss"})
    cr_assert(!readSpan(Wrong), "%s", Wrong);
}

Test(times, are_wall_times_in_utc) {
  cr_assert(readWallTime("1970-01-02T00:00:01Z") ==
            microseconds(86'401'000'000));
  cr_assert(readWallTime("2000-02-29T12:00:00.5Z") ==
            microseconds(951'825'600'500'000));
  for (const char *Wrong :
       {"2001-02-29T00:00:00Z", "2001-01-01T24:00:00Z", "2001-01-01T00:60:00Z",
        "2001-01-01T00:00:60Z", "2001-01-01T00:00:00", "2001-01-01",
        "2001-01-01T00:00:00.1234567Z", ""})
    cr_assert(!readWallTime(Wrong), "%s", Wrong);
  for (const char *Text :
       {"2026-12-04T11:30:00.000001Z", "1969-12-31T23:59:59.999999Z"})
    cr_assert(wallTimeText(*readWallTime(Text)) == Text, "%s", Text);
}
