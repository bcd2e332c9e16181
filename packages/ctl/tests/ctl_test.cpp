/// \file
/// masticctl's command line, help and edits against a scripted platform.

#include "masticproxy/Ctl"
#include "masticproxy/Net"

#include <criterion/criterion.h>

#include <deque>

using namespace masticproxy;

namespace {

/// Answers reads and writes as a test has set them.
class scripted_platform : public platform_api {
public:
  platform_read_result get(std::string_view, std::string_view) override {
    platform_read_result Next = std::move(Reads.front());
    if (Reads.size() > 1)
      Reads.pop_front();
    return Next;
  }
  platform_write_result put(std::string_view, std::string_view, std::uint64_t,
                            std::string_view Value) override {
    ++Writes;
    if (KeepWritten)
      Reads = {platform_object{"profile", "p", 8, false, std::string(Value)}};
    return Written;
  }
  platform_write_result remove(std::string_view, std::string_view,
                               std::uint64_t) override {
    return platform_unavailable{};
  }
  platform_changes_result list(std::string_view) override {
    return platform_unavailable{};
  }
  platform_changes_result watch(std::uint64_t,
                                std::chrono::milliseconds) override {
    return platform_unavailable{};
  }
  platform_vms_result listVms() override { return platform_unavailable{}; }

  std::deque<platform_read_result> Reads{platform_missing{}};
  platform_write_result Written = platform_unavailable{"lost"};
  bool KeepWritten = false;
  unsigned Writes = 0;
};

ctl_options read(std::vector<std::string> Words) {
  std::vector<char *> Args;
  Words.insert(Words.begin(), "masticctl");
  Args.reserve(Words.size());
  for (std::string &Word : Words)
    Args.push_back(Word.data());
  return readCtlOptions(static_cast<int>(Args.size()), Args.data());
}

edit_result edit(scripted_platform &Platform, std::string_view Text) {
  return object_editor(Platform).apply("profile", "p", Text, "id", {});
}

} // namespace

Test(command_line, takes_options_on_either_side_of_the_command) {
  ctl_options Options = read({"--json", "query", "--vm", "a,b", "--help"});
  cr_assert(Options.Json && Options.ShowHelp);
  cr_assert(Options.Vms.size() == 2);
  cr_assert(Options.Words.front() == "query");
}

Test(command_line, refuses_what_it_does_not_know) {
  cr_assert_throw(read({"--nothing"}), ctl_error);
  cr_assert_throw(read({"--vm"}), ctl_error);
  cr_assert_throw(read({"--if-version", "new"}), ctl_error);
}

Test(command_line, every_command_has_a_help_of_its_own) {
  for (const char *Command :
       {"query", "profile", "index", "status", "timeline", "report", "check"}) {
    std::string Usage = std::string("Usage: masticctl ") + Command;
    cr_assert(ctlHelp(Command).starts_with(Usage), "%s", Command);
    cr_assert(ctlHelp().find(std::string("\n  ") + Command) !=
              std::string::npos);
  }
  cr_assert(ctlHelp("wash").empty());
}

Test(edits, are_found_by_reading_back_when_the_answer_is_lost) {
  scripted_platform Platform;
  Platform.KeepWritten = true;
  edit_result Result = edit(Platform, "wait = \"1s\"\n");
  auto *Applied = std::get_if<edit_applied>(&Result);
  cr_assert(Applied && Applied->FoundByReadingBack && Applied->Version == 8);
  cr_assert(Platform.Writes == 1);
}

Test(edits, stay_unknown_when_reading_back_shows_another_text) {
  scripted_platform Platform;
  cr_assert(std::holds_alternative<edit_unknown>(edit(Platform, "a = 1\n")));
}

Test(edits, are_not_made_when_the_platform_can_not_be_read) {
  scripted_platform Platform;
  Platform.Reads = {platform_unavailable{"down"}};
  cr_assert(std::holds_alternative<edit_not_made>(edit(Platform, "a = 1\n")));
  cr_assert(Platform.Writes == 0);
}

Test(edits, drop_the_version_line_and_the_mark_of_an_earlier_edit) {
  std::string First = markEdit("profile", "a = 1", "one");
  cr_assert(First == "a = 1\n# edit one\n");
  std::string Second = markEdit("profile", "# version 5\n" + First, "two");
  cr_assert(Second == "a = 1\n# edit two\n");
  cr_assert(markEdit("profile", "# version 5", "x") == "# edit x\n");
}

Test(edits, of_an_index_map_take_what_get_printed) {
  std::string_view Map = R"({"snapshot":"s","shards":[{"id":"0","replicas":[
      {"address":"127.0.0.1:1","data_centre":"a","slots":1,"connections":1}
      ]}]})";
  std::string Printed = "# version 5\n" + std::string(Map);
  cr_assert(markEdit("index", Printed, "x") == Map);
  checkObjectText("index", Map, "i");
  checkObjectText("index", Printed, "i");
}

Test(edits, longer_than_the_platform_holds_are_never_sent) {
  scripted_platform Platform;
  edit_result Result = edit(Platform, std::string(MaxObjectValueBytes, '#'));
  cr_assert(std::holds_alternative<edit_too_long>(Result));
  cr_assert(Platform.Writes == 0);
}
