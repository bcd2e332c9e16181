/// \file
/// The HTML report: whole, escaped, and without anything from outside.

#include "masticproxy/Ctl"

#include <criterion/criterion.h>

using namespace masticproxy;

namespace {

constexpr const char *Foreign = "<script src=\"x\">&'";

profile_version version(std::uint64_t Number, const char *Wait) {
  profile_version Version;
  Version.Version = Number;
  Version.Text = std::string("wait = \"") + Wait + "\"\n";
  Version.Summary.Requests = 4;
  Version.Summary.Outcomes = {{"answered", 3}, {Foreign, 1}};
  Version.Summary.Refusals = {{Foreign, 1}};
  Version.Summary.Latency.add(std::chrono::milliseconds(20), 3);
  Version.Summary.Shards = 8;
  Version.Summary.Attempts = 10;
  return Version;
}

bool has(const std::string &Text, std::string_view Part) {
  return Text.find(Part) != std::string::npos;
}

std::size_t count(const std::string &Text, std::string_view Part) {
  std::size_t Count = 0;
  for (std::size_t At = Text.find(Part); At != std::string::npos;
       At = Text.find(Part, At + 1))
    ++Count;
  return Count;
}

} // namespace

Test(report, escapes_all_that_came_from_elsewhere) {
  std::vector<vm_effect> Vms{{"a", "", {version(3, "1s"), version(7, "2s")}},
                             {Foreign, Foreign, {}}};
  std::string Page = reportPage(profileSection(Foreign, Vms));
  cr_assert_not(has(Page, "<script"), "%s", Page.c_str());
  // Name, VM and its reason, and outcome and refusal in table and plot each.
  cr_assert(count(Page, markupText(Foreign)) == 7, "%s", Page.c_str());
  cr_assert(markupText(Foreign) ==
            "&lt;script src=&quot;x&quot;&gt;&amp;&#39;");
}

Test(report, shows_the_edit_the_figures_and_the_plots) {
  std::vector<vm_effect> Vms{{"a", "", {version(3, "1s"), version(7, "2s")}}};
  std::string Page = reportPage(profileSection("p", Vms));
  cr_assert(has(Page, "wait: 1000ms -&gt; 2000ms"));
  cr_assert(has(Page, "<td>attempts per shard</td><td>1.250</td>"));
  cr_assert(has(Page, ">25.0 %</text>"));
  cr_assert(count(Page, "<polyline") == 2 && count(Page, "<svg") == 2);
  cr_assert(count(Page, "</svg>") == 2 && Page.ends_with("</html>\n"));
}

Test(report, needs_nothing_from_outside) {
  // Escaped text may name anything; here there is none.
  profile_version Plain = version(3, "1s");
  Plain.Summary.Outcomes = {{"answered", 4}};
  Plain.Summary.Refusals.clear();
  std::vector<vm_effect> Vms{{"a", "", {Plain}}};
  std::string Page = reportPage(profileSection("p", Vms));
  cr_assert_not(has(Page, "src=") || has(Page, "href") || has(Page, "url("));
  cr_assert(has(Page, "no earlier one is remembered"));
  cr_assert(profileSection("p", {}).empty());
}
