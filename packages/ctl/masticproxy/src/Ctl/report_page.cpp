#include "masticproxy/src/Ctl/report_page.h"

#include "masticproxy/src/Ctl/effect_plot.h"
#include "masticproxy/src/Ctl/effect_report.h"
#include "masticproxy/src/Ctl/effect_text.h"
#include "masticproxy/src/Ctl/markup_text.h"

#include <sstream>

using namespace masticproxy;

namespace {

constexpr std::string_view Head = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>masticproxy: effect of edits</title>
<style>
body { font: 14px sans-serif; margin: 2em; max-width: 60em; }
table { border-collapse: collapse; margin: 1em 0; }
th, td { padding: 2px 12px; text-align: right; border-bottom: 1px solid #ccc; }
th:first-child, td:first-child { text-align: left; }
.before { fill: #999; stroke: #999; } .after { fill: #06c; stroke: #06c; }
.line { fill: none; stroke-width: 2; } .axis { stroke: #333; }
svg text { font: 12px sans-serif; fill: #000; stroke: none; }
</style></head><body>
<h1>Effect of the newest edit of each profile</h1>
)";

std::string cell(std::string_view Text) {
  return "<td>" + markupText(Text) + "</td>";
}

std::string figuresTable(const profile_effect &Effect) {
  std::string Html = "<table><tr><th></th><th>before</th><th>after</th></tr>\n";
  for (const effect_row &Row : effectRows(Effect))
    Html += "<tr>" + cell(Row.Name) + cell(Row.Before) + cell(Row.After) +
            "</tr>\n";
  return Html + "</table>\n";
}

std::string heading(const std::string &Name, const profile_effect &Effect) {
  std::string Html = "<h2>" + markupText(Name) + "</h2>\n<p>Version " +
                     std::to_string(Effect.AfterVersion);
  if (Effect.BeforeVersion == 0)
    return Html + ", no earlier one is remembered</p>\n";
  return Html + ", before it version " + std::to_string(Effect.BeforeVersion) +
         "</p>\n";
}

} // namespace

std::string masticproxy::profileSection(const std::string &Name,
                                        std::span<const vm_effect> Vms) {
  std::optional<profile_effect> Effect = effectOf(Vms);
  if (!Effect)
    return {};
  std::vector<profile_version> Versions = versionsOf(Vms);
  std::ostringstream Text;
  if (Versions.size() > 1)
    printDifferences(*std::prev(Versions.end(), 2), Versions.back(), Text);
  printVms(Vms, Effect->AfterVersion, Text);
  return heading(Name, *Effect) + "<pre>" + markupText(Text.str()) +
         "</pre>\n" + figuresTable(*Effect) + latencyPlot(*Effect) +
         sharesPlot(*Effect);
}

std::string masticproxy::reportPage(std::string_view Sections) {
  return std::string(Head) + std::string(Sections) + "</body></html>\n";
}
