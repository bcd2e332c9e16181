/// \file
/// Checked settings: every problem is named with its line, all at once.

#include "masticproxy/Query"
#include "masticproxy/Settings"

#include <criterion/criterion.h>

using namespace masticproxy;

namespace {

constexpr std::string_view Good = R"([node]
name = "vm-1"
data_centre = "dc1"
[listen]
callers = "127.0.0.1:8101"
peers = "127.0.0.1:8201"
[platform]
address = "127.0.0.1:7000"
)";

std::vector<settings_problem> problemsOf(std::string_view Text) {
  try {
    readNodeSettings(Text, "file");
  } catch (const settings_error &Error) {
    return {Error.problems().begin(), Error.problems().end()};
  }
  return {};
}

} // namespace

Test(settings, take_defaults_for_what_is_absent) {
  node_settings Settings = readNodeSettings(Good, "file");
  cr_assert(Settings.Name == "vm-1");
  cr_assert(Settings.PlatformCallTimeout == std::chrono::seconds(2));
  cr_assert(Settings.Queries == 1024);
  cr_assert(Settings.QueryPolicy == "adaptive");
}

Test(settings, name_every_required_key_of_an_empty_file) {
  cr_assert(problemsOf("").size() == 5);
}

Test(settings, name_all_problems_at_once_with_their_lines) {
  std::string Text(Good);
  Text += "call_timeout = \"2 parsecs\"\n"
          "wathc_wait = \"5s\"\n"
          "[limits]\n"
          "queries = 0\n"
          "body_bytes = \"many\"\n";
  auto Problems = problemsOf(Text);
  cr_assert(Problems.size() == 4);
  cr_assert(Problems[0].Key == "platform.call_timeout");
  cr_assert(Problems[0].Line == 9);
  cr_assert(Problems[1].Key == "platform.wathc_wait");
  cr_assert(Problems[1].Found == "unknown key");
  cr_assert(Problems[2].Key == "limits.queries");
  cr_assert(Problems[3].Line == 13);
}

Test(settings, refuse_a_section_that_is_no_section) {
  auto Problems = problemsOf("node = 3\n");
  cr_assert(!Problems.empty());
}

Test(settings, refuse_text_that_is_no_toml) {
  auto Problems = problemsOf("[node\nname");
  cr_assert(Problems.size() == 1);
  cr_assert(Problems[0].Expected == "valid TOML");
}

Test(settings, refuse_characters_beyond_ascii_outside_quoted_texts) {
  auto Problems = problemsOf("[node]\nname \xd0\x8d = \"x\"\n");
  cr_assert(Problems.size() == 1);
  cr_assert(Problems[0].Line == 2);
}

Test(settings, take_characters_beyond_ascii_in_quoted_texts_and_comments) {
  std::string Text(Good);
  Text.replace(Text.find("vm-1"), 4, "vm-\xc3\xa9t\xc3\xa9");
  Text += "# \xc3\xa9\n";
  cr_assert(readNodeSettings(Text, "file").Name == "vm-\xc3\xa9t\xc3\xa9");
}

Test(settings, refuse_a_text_over_several_lines) {
  cr_assert(problemsOf("[node]\nname = \"\"\"x\ny\"\"\"\n").size() == 2);
}

Test(settings, every_default_fits_its_own_bounds) {
  for (auto Specs : {nodeSettingsSpecs(), profileSpecs()})
    for (const key_spec &Spec : Specs) {
      if (Spec.Default.empty())
        continue;
      std::string Path(Spec.Path);
      std::string Text = Path + " = " + std::string(Spec.Default) + "\n";
      checked_values::read(Text, "default", std::span(&Spec, 1));
    }
}

Test(profiles, read_wait_coverage_and_repetition) {
  profile Profile =
      readProfile("wait = \"300ms\"\ncoverage = 0.9\nmay_repeat = true\n", "p");
  cr_assert(Profile.Wait == std::chrono::milliseconds(300));
  cr_assert(Profile.Coverage == 0.9);
  cr_assert(Profile.MayRepeat);
}

Test(profiles, read_the_same_from_the_text_made_of_them) {
  for (double Coverage : {1.0, 0.9, 1.0 / 3, 0.000001}) {
    profile Profile;
    Profile.Wait = std::chrono::milliseconds(1500);
    Profile.Coverage = Coverage;
    Profile.MayRepeat = Coverage < 1;
    profile Again = readProfile(profileText(Profile), "p");
    cr_assert(Again.Wait == Profile.Wait);
    cr_assert(Again.Coverage == Profile.Coverage);
    cr_assert(Again.MayRepeat == Profile.MayRepeat);
  }
}

Test(profiles, refuse_a_coverage_above_one) {
  cr_assert_throw(readProfile("wait = \"1s\"\ncoverage = 1.5\n", "p"),
                  settings_error);
}

Test(indexes, refuse_a_shard_that_stands_twice) {
  cr_assert_throw(readIndexMap(R"({"snapshot":"s","shards":[
    {"id":"0","replicas":[]},{"id":"0","replicas":[]}]})",
                               "i"),
                  settings_error);
}

Test(indexes, refuse_what_is_no_map) {
  cr_assert_throw(readIndexMap("[]", "i"), settings_error);
  cr_assert_throw(readIndexMap("{", "i"), settings_error);
}
