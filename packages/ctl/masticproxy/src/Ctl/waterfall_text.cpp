#include "masticproxy/src/Ctl/waterfall_text.h"

#include "masticproxy/src/Ctl/fan_out.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>
#include <vector>

using namespace masticproxy;

namespace {

constexpr std::size_t BarWidth = 40;
constexpr double MicrosecondsPerMillisecond = 1000.0;

constexpr std::size_t ColumnCount = 7;
using row = std::array<std::string, ColumnCount>;

/// Begin and end are numbers and stand to the right.
constexpr std::size_t NumberColumns = 2;

std::size_t columnOf(std::int64_t Time, std::int64_t Length) {
  if (Length <= 0)
    return 0;
  auto Column = static_cast<std::size_t>(Time) * BarWidth /
                static_cast<std::size_t>(Length);
  return std::min(Column, BarWidth - 1);
}

std::string barOf(const attempt_span &Span, std::int64_t Length) {
  std::size_t From = columnOf(Span.Begin.value_or(0), Length);
  std::size_t To = columnOf(Span.End.value_or(Length), Length);
  std::string Bar(BarWidth, ' ');
  std::fill(Bar.begin() + static_cast<std::ptrdiff_t>(From),
            Bar.begin() + static_cast<std::ptrdiff_t>(To) + 1, '=');
  if (!Span.Begin)
    Bar.front() = '?';
  if (!Span.End)
    Bar.back() = '>';
  return Bar;
}

row cellsOf(const attempt_span &Span) {
  return {millisecondsText(Span.Begin),
          millisecondsText(Span.End),
          Span.Vm,
          Span.Shard,
          Span.Kind,
          Span.Upstream,
          Span.Ending};
}

void writeRow(const row &Cells, const std::array<int, ColumnCount> &Widths,
              std::ostream &Out) {
  for (std::size_t I = 0; I < ColumnCount; ++I)
    Out << (I < NumberColumns ? std::right : std::left) << std::setw(Widths[I])
        << Cells[I] << "  ";
}

} // namespace

std::string
masticproxy::millisecondsText(std::optional<std::int64_t> Microseconds) {
  if (!Microseconds)
    return "?";
  std::ostringstream Out;
  Out << std::fixed << std::setprecision(3)
      << static_cast<double>(*Microseconds) / MicrosecondsPerMillisecond;
  return Out.str();
}

std::string masticproxy::waterfallTitle(const fan_out &Request) {
  return "request " + Request.RequestId + ": " +
         std::to_string(Request.Attempts.size()) + " attempts, outcome " +
         (Request.Outcome.empty() ? "not known" : Request.Outcome) + ", " +
         millisecondsText(Request.Length) + " ms";
}

std::string masticproxy::missingText(const fan_out &Request) {
  std::string Names;
  for (const std::string &Vm : Request.Unreached)
    Names += " " + Vm;
  return Names.empty() ? ""
                       : "attempts may be missing, no events from:" + Names;
}

std::string masticproxy::waterfallText(const fan_out &Request) {
  std::vector<row> Rows{
      {"begin ms", "end ms", "vm", "shard", "kind", "upstream", "ended"}};
  for (const attempt_span &Span : Request.Attempts)
    Rows.push_back(cellsOf(Span));
  std::array<int, ColumnCount> Widths{};
  for (const row &Cells : Rows)
    for (std::size_t I = 0; I < ColumnCount; ++I)
      Widths[I] = std::max(Widths[I], static_cast<int>(Cells[I].size()));
  std::ostringstream Out;
  Out << waterfallTitle(Request) << "\n";
  writeRow(Rows.front(), Widths, Out);
  Out << "\n";
  for (std::size_t I = 0; I < Request.Attempts.size(); ++I) {
    writeRow(Rows[I + 1], Widths, Out);
    Out << "|" << barOf(Request.Attempts[I], Request.Length) << "|\n";
  }
  if (std::string Missing = missingText(Request); !Missing.empty())
    Out << Missing << "\n";
  return Out.str();
}
