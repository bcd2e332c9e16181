#include "masticproxy/src/Ctl/effect_plot.h"

#include "masticproxy/src/Ctl/effect_report.h"
#include "masticproxy/src/Ctl/markup_text.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

using namespace masticproxy;

namespace {

constexpr double Percent = 100;

/// The plot of latencies, in pixels.
constexpr double PlotLeft = 40;
constexpr double PlotTop = 20;
constexpr double PlotWidth = 560;
constexpr double PlotHeight = 180;
constexpr double LabelHeight = 30;

/// Edges of the axis of latencies; it has a label at each power of ten.
constexpr double LeastMs = 0.1;
constexpr double GreatestMs = 100000;
constexpr double LabelRatio = 10;

/// The bars, in pixels.
constexpr double BarLeft = 480;
constexpr double BarWidth = 220;
constexpr double BarHeight = 12;
constexpr double RowHeight = 32;
constexpr double TextDrop = 16;

constexpr double ImageWidth = 780;

struct share_row {
  std::string Name;
  double Before = 0;
  double After = 0;
};

double ratio(double Part, std::uint64_t Whole) {
  return Whole == 0 ? 0 : Part / static_cast<double>(Whole);
}

double extraLoad(const version_summary &Summary) {
  double Attempts = static_cast<double>(Summary.Attempts);
  return std::max(0.0, ratio(Attempts, Summary.Shards) - 1);
}

double plotX(double Milliseconds) {
  double Bounded = std::clamp(Milliseconds, LeastMs, GreatestMs);
  return PlotLeft + PlotWidth * std::log(Bounded / LeastMs) /
                        std::log(GreatestMs / LeastMs);
}

double plotY(double Share) { return PlotTop + PlotHeight * (1 - Share); }

void addCurve(const latency_buckets &Latency, std::string_view Class,
              std::ostream &Out) {
  if (Latency.total() == 0)
    return;
  Out << "<polyline class=\"line " << Class << "\" points=\"" << plotX(LeastMs)
      << "," << plotY(0);
  std::uint64_t Below = 0;
  for (const latency_buckets::bucket &Bucket : Latency.filled()) {
    double X =
        plotX(std::chrono::duration<double, std::milli>(Bucket.Edge).count());
    Out << " " << X << ","
        << plotY(ratio(static_cast<double>(Below), Latency.total()));
    Below += Bucket.Count;
    Out << " " << X << ","
        << plotY(ratio(static_cast<double>(Below), Latency.total()));
  }
  Out << " " << plotX(GreatestMs) << "," << plotY(1) << "\"/>\n";
}

void addText(double X, double Y, const std::string &Text, std::ostream &Out) {
  Out << "<text x=\"" << X << "\" y=\"" << Y << "\">" << markupText(Text)
      << "</text>\n";
}

void addAxis(std::ostream &Out) {
  Out << "<line class=\"axis\" x1=\"" << PlotLeft << "\" x2=\""
      << PlotLeft + PlotWidth << "\" y1=\"" << plotY(0) << "\" y2=\""
      << plotY(0) << "\"/>\n";
  for (double At = LeastMs; At <= GreatestMs * 1.01; At *= LabelRatio) {
    std::ostringstream Label;
    Label << At << " ms";
    addText(plotX(At), plotY(0) + TextDrop, Label.str(), Out);
  }
  addText(0, plotY(1) + TextDrop / 2, "100 %", Out);
  addText(0, plotY(0), "0 %", Out);
}

using counts = std::map<std::string, std::uint64_t>;

void addShares(const std::string &Prefix, const counts &Before,
               const counts &After, const profile_effect &Effect,
               std::vector<share_row> &Rows) {
  counts All = Before;
  All.insert(After.begin(), After.end());
  auto Share = [](const counts &Counts, const std::string &Key,
                  std::uint64_t Requests) {
    auto Found = Counts.find(Key);
    return Found == Counts.end()
               ? 0
               : ratio(static_cast<double>(Found->second), Requests);
  };
  for (const auto &[Key, Count] : All)
    Rows.push_back({Prefix + Key, Share(Before, Key, Effect.Before.Requests),
                    Share(After, Key, Effect.After.Requests)});
}

std::vector<share_row> shareRows(const profile_effect &Effect) {
  const version_summary &Before = Effect.Before;
  const version_summary &After = Effect.After;
  std::vector<share_row> Rows{
      {"coverage, mean", ratio(Before.CoverageSum, Before.WithCoverage),
       ratio(After.CoverageSum, After.WithCoverage)},
      {"extra load", extraLoad(Before), extraLoad(After)}};
  addShares("", Before.Outcomes, After.Outcomes, Effect, Rows);
  addShares("not_run: ", Before.Refusals, After.Refusals, Effect, Rows);
  return Rows;
}

void addBar(double Y, double Share, std::string_view Class, std::ostream &Out) {
  Out << "<rect class=\"" << Class << "\" x=\"" << BarLeft << "\" y=\"" << Y
      << "\" width=\"" << BarWidth * std::min(Share, 1.0) << "\" height=\""
      << BarHeight << "\"/>\n";
  std::ostringstream Label;
  Label << std::fixed << std::setprecision(1) << Share * Percent << " %";
  addText(BarLeft + BarWidth + BarHeight, Y + BarHeight, Label.str(), Out);
}

std::string svg(double Height, const std::string &Content) {
  std::ostringstream Out;
  Out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << ImageWidth
      << "\" height=\"" << Height << "\">\n"
      << Content << "</svg>\n";
  return Out.str();
}

} // namespace

std::string masticproxy::latencyPlot(const profile_effect &Effect) {
  std::ostringstream Out;
  addAxis(Out);
  addCurve(Effect.Before.Latency, "before", Out);
  addCurve(Effect.After.Latency, "after", Out);
  return "<p>Requests that took up to so long; grey before, blue after</p>\n" +
         svg(PlotTop + PlotHeight + LabelHeight, Out.str());
}

std::string masticproxy::sharesPlot(const profile_effect &Effect) {
  std::ostringstream Out;
  double Y = 0;
  for (const share_row &Row : shareRows(Effect)) {
    addText(0, Y + TextDrop, Row.Name, Out);
    addBar(Y, Row.Before, "before", Out);
    addBar(Y + BarHeight + 1, Row.After, "after", Out);
    Y += RowHeight;
  }
  return "<p>Coverage, extra load, outcomes and refusals; grey before, blue "
         "after</p>\n" +
         svg(Y, Out.str());
}
