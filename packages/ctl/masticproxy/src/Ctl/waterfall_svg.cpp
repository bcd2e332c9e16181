#include "masticproxy/src/Ctl/waterfall_svg.h"

#include "masticproxy/src/Ctl/fan_out.h"
#include "masticproxy/src/Ctl/markup_text.h"
#include "masticproxy/src/Ctl/waterfall_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <sstream>

using namespace masticproxy;

namespace {

// All lengths are in pixels.
constexpr int Margin = 10;
constexpr int RowHeight = 20;
/// Title, line of missing VMs, and the scale.
constexpr int HeaderHeight = 70;
constexpr int LegendHeight = 30;
constexpr int BarsAt = 540;
constexpr int BarsWidth = 500;
constexpr int BarHeight = 12;
constexpr int LeastBarWidth = 2;
constexpr int EndingAt = BarsAt + BarsWidth + Margin;
constexpr int PictureWidth = EndingAt + 150;
constexpr int TextRise = 5;
constexpr int LegendStep = 110;

/// Characters at most, so that columns don't run into each other.
constexpr std::size_t NameLength = 15;
constexpr std::size_t UpstreamLength = 24;

/// Parts of the scale between two marks.
constexpr int ScaleParts = 4;

constexpr unsigned char FirstPrintable = 0x20;
constexpr unsigned char Utf8Mask = 0xc0;
constexpr unsigned char Utf8Continued = 0x80;

struct kind_colour {
  std::string_view Kind;
  std::string_view Colour;
};

constexpr kind_colour Colours[] = {{"first", "#3b74b8"},
                                   {"retry", "#d9822b"},
                                   {"hedge", "#7a4fa3"},
                                   {"relay", "#3c8c5a"}};

std::string_view colourOf(std::string_view Kind) {
  for (const kind_colour &Known : Colours)
    if (Known.Kind == Kind)
      return Known.Colour;
  return "#777777";
}

std::string shortened(const std::string &Text, std::size_t Length) {
  if (Text.size() <= Length)
    return Text;
  std::size_t End = Length - 2;
  // Never within a character.
  while (End > 0 &&
         (static_cast<unsigned char>(Text[End]) & Utf8Mask) == Utf8Continued)
    --End;
  return Text.substr(0, End) + "..";
}

void text(std::ostream &Out, int X, int Y, const std::string &Content) {
  Out << "<text x=\"" << X << "\" y=\"" << Y << "\">" << xmlEscaped(Content)
      << "</text>\n";
}

int placeOf(std::int64_t Time, std::int64_t Length) {
  if (Length <= 0)
    return BarsAt;
  std::int64_t Inside = std::clamp<std::int64_t>(Time, 0, Length);
  return BarsAt + static_cast<int>(Inside * BarsWidth / Length);
}

void scale(std::ostream &Out, const fan_out &Request, int Bottom) {
  for (int I = 0; I <= ScaleParts; ++I) {
    int X = BarsAt + BarsWidth * I / ScaleParts;
    Out << "<line x1=\"" << X << "\" y1=\"" << HeaderHeight - RowHeight / 2
        << "\" x2=\"" << X << "\" y2=\"" << Bottom
        << "\" stroke=\"#dddddd\"/>\n";
    text(Out, X, HeaderHeight - RowHeight / 2 - TextRise,
         millisecondsText(Request.Length * I / ScaleParts));
  }
}

void bar(std::ostream &Out, const attempt_span &Span, std::int64_t Length,
         int Top) {
  int From = placeOf(Span.Begin.value_or(0), Length);
  int To = placeOf(Span.End.value_or(Length), Length);
  bool Answered = Span.Ending == "answered";
  Out << "<rect x=\"" << From << "\" y=\"" << Top << "\" width=\""
      << std::max(To - From, LeastBarWidth) << "\" height=\"" << BarHeight
      << "\" fill=\"" << colourOf(Span.Kind) << "\" fill-opacity=\""
      << (Answered ? "1" : "0.45") << "\"><title>"
      << xmlEscaped(Span.Kind + " attempt of shard " + Span.Shard + " at " +
                    Span.Upstream + " by " + Span.Vm + ": " +
                    millisecondsText(Span.Begin) + " to " +
                    millisecondsText(Span.End) + " ms, " + Span.Ending)
      << "</title></rect>\n";
}

void row(std::ostream &Out, const attempt_span &Span, std::int64_t Length,
         int Top) {
  constexpr std::array<int, 4> Columns{Margin, 130, 250, 310};
  int Line = Top + RowHeight - TextRise;
  text(Out, Columns[0], Line, shortened(Span.Vm, NameLength));
  text(Out, Columns[1], Line, shortened(Span.Shard, NameLength));
  text(Out, Columns[2], Line, Span.Kind);
  text(Out, Columns[3], Line, shortened(Span.Upstream, UpstreamLength));
  bar(Out, Span, Length, Top + (RowHeight - BarHeight) / 2);
  text(Out, EndingAt, Line, Span.Ending);
}

void legend(std::ostream &Out, int Top) {
  int X = Margin;
  for (const kind_colour &Known : Colours) {
    Out << "<rect x=\"" << X << "\" y=\"" << Top << "\" width=\"" << BarHeight
        << "\" height=\"" << BarHeight << "\" fill=\"" << Known.Colour
        << "\"/>\n";
    text(Out, X + BarHeight + TextRise, Top + BarHeight - 2,
         std::string(Known.Kind));
    X += LegendStep;
  }
  text(Out, X, Top + BarHeight - 2,
       "pale: without a result; times in ms after the first event");
}

} // namespace

std::string masticproxy::xmlEscaped(std::string_view Text) {
  // Through the JSON library, which replaces what is no UTF-8.
  std::string Valid = nlohmann::json::parse(nlohmann::json(Text).dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace));
  // XML has no way to write most control characters.
  for (char &C : Valid)
    if (static_cast<unsigned char>(C) < FirstPrintable)
      C = '?';
  return markupText(Valid);
}

std::string masticproxy::waterfallSvg(const fan_out &Request) {
  int Bottom =
      HeaderHeight + RowHeight * static_cast<int>(Request.Attempts.size());
  int Height = Bottom + LegendHeight;
  std::ostringstream Out;
  Out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << PictureWidth
      << "\" height=\"" << Height << "\" viewBox=\"0 0 " << PictureWidth << " "
      << Height << "\" font-family=\"monospace\" font-size=\"12\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"#ffffff\"/>\n";
  text(Out, Margin, RowHeight, waterfallTitle(Request));
  text(Out, Margin, 2 * RowHeight, missingText(Request));
  scale(Out, Request, Bottom);
  int Top = HeaderHeight;
  for (const attempt_span &Span : Request.Attempts) {
    row(Out, Span, Request.Length, Top);
    Top += RowHeight;
  }
  legend(Out, Bottom + (LegendHeight - BarHeight) / 2);
  Out << "</svg>\n";
  return Out.str();
}
