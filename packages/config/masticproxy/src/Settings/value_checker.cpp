#include "masticproxy/src/Settings/value_checker.h"

#include "masticproxy/src/Settings/address_text.h"
#include "masticproxy/src/Settings/ascii_text.h"

#include <toml++/toml.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <sstream>

using namespace masticproxy;

namespace {

std::string plain(double Number) {
  std::ostringstream Out;
  Out << Number;
  return Out.str();
}

std::string bounds(const key_spec &Spec) {
  std::string Unit = Spec.Kind == value_kind::Duration ? " ms" : "";
  return "from " + plain(Spec.Least) + " to " + plain(Spec.Greatest) + Unit;
}

std::optional<std::chrono::milliseconds> parseDuration(std::string_view Text) {
  double Number = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Error] = std::from_chars(Text.data(), End, Number);
  if (Error != std::errc() || !std::isfinite(Number))
    return std::nullopt;
  std::string_view Unit(Stop, static_cast<std::size_t>(End - Stop));
  double Factor = Unit == "ms" ? 1 : Unit == "s" ? 1000 : 60000;
  if (Unit != "ms" && Unit != "s" && Unit != "min")
    return std::nullopt;
  double Milliseconds = Number * Factor;
  // Beyond any bound, and safe to round.
  Milliseconds = std::clamp(Milliseconds, -1.0, 1e15);
  return std::chrono::milliseconds(std::llround(Milliseconds));
}

bool isChoice(std::string_view Word, std::string_view Choices) {
  while (!Choices.empty()) {
    std::size_t Bar = Choices.find('|');
    if (Choices.substr(0, Bar) == Word)
      return true;
    if (Bar == std::string_view::npos)
      break;
    Choices.remove_prefix(Bar + 1);
  }
  return false;
}

std::string expectation(const key_spec &Spec) {
  switch (Spec.Kind) {
  case value_kind::Text:
    return "a non-empty text";
  case value_kind::Address:
    return "an IP number and port such as \"127.0.0.1:8080\"";
  case value_kind::Duration:
    return "a text such as \"250ms\", \"2s\" or \"1min\", " + bounds(Spec);
  case value_kind::Integer:
    return "a whole number " + bounds(Spec);
  case value_kind::Number:
    return "a number " + bounds(Spec);
  case value_kind::Boolean:
    return "true or false";
  case value_kind::Choice:
    return "one of " + std::string(Spec.Choices);
  }
  return {};
}

unsigned lineOf(const toml::node &Node) {
  return static_cast<unsigned>(Node.source().begin.line);
}

bool startsSection(std::string_view Path, const key_spec &Spec) {
  return Spec.Path.size() > Path.size() && Spec.Path.starts_with(Path) &&
         Spec.Path[Path.size()] == '.';
}

} // namespace

checked_values value_checker::run(std::string_view Text,
                                  std::span<const key_spec> Specs) {
  checked_values Result;
  ascii_text Ascii = toAscii(Text, Source);
  Problems = std::move(Ascii.Problems);
  if (!Problems.empty())
    return Result;
  toml::table Root;
  try {
    Root = toml::parse(Ascii.Text, Source);
  } catch (const toml::parse_error &Error) {
    add(static_cast<unsigned>(Error.source().begin.line), "",
        std::string(Error.description()), "valid TOML");
    return Result;
  }
  rejectUnknown(Root, "", Specs);
  for (const key_spec &Spec : Specs) {
    toml::node_view<toml::node> Found = Root.at_path(Spec.Path);
    std::optional<checked_values::value> Value;
    if (Found)
      Value = check(*Found.node(), Spec);
    else if (!Spec.Default.empty())
      Value = defaultOf(Spec);
    else
      add(0, Spec.Path, "missing", expectation(Spec));
    if (Value)
      Result.Values.emplace(Spec.Path, std::move(*Value));
  }
  return Result;
}

template <typename Table>
void value_checker::rejectUnknown(const Table &Node, const std::string &Prefix,
                                  std::span<const key_spec> Specs) {
  for (const auto &[Key, Child] : Node) {
    std::string Path = Prefix + std::string(Key.str());
    bool Known = false;
    bool Section = false;
    for (const key_spec &Spec : Specs) {
      Known = Known || Spec.Path == Path;
      Section = Section || startsSection(Path, Spec);
    }
    if (Section && Child.is_table())
      rejectUnknown(*Child.as_table(), Path + ".", Specs);
    else if (Section)
      add(lineOf(Child), Path, "not a section", "[" + Path + "] with keys");
    else if (!Known)
      add(lineOf(Child), Path, "unknown key", "one of the reference page");
  }
}

template <typename Node>
std::optional<checked_values::value>
value_checker::check(const Node &Value, const key_spec &Spec) {
  auto InBounds = [&Spec](double Number) {
    return Number >= Spec.Least && Number <= Spec.Greatest;
  };
  std::optional<checked_values::value> Result;
  std::optional<std::string> Text = Value.template value_exact<std::string>();
  switch (Spec.Kind) {
  case value_kind::Text:
    if (Text && !Text->empty())
      Result = *Text;
    break;
  case value_kind::Address:
    if (Text && isAddressText(*Text))
      Result = *Text;
    break;
  case value_kind::Choice:
    if (Text && isChoice(*Text, Spec.Choices))
      Result = *Text;
    break;
  case value_kind::Duration:
    if (Text)
      if (auto Span = parseDuration(*Text))
        if (InBounds(static_cast<double>(Span->count())))
          Result = *Span;
    break;
  case value_kind::Integer:
    if (auto Whole = Value.template value_exact<std::int64_t>())
      if (InBounds(static_cast<double>(*Whole)))
        Result = *Whole;
    break;
  case value_kind::Number:
    if (Value.is_number())
      if (double Number = *Value.template value<double>(); InBounds(Number))
        Result = Number;
    break;
  case value_kind::Boolean:
    if (auto Flag = Value.template value_exact<bool>())
      Result = *Flag;
    break;
  }
  if (!Result) {
    std::ostringstream Found;
    Value.visit([&Found](const auto &Inner) {
      if constexpr (toml::is_value<decltype(Inner)>)
        Found << Inner;
      else
        Found << "a " << Inner.type();
    });
    add(lineOf(Value), Spec.Path, Found.str(), expectation(Spec));
  }
  return Result;
}

checked_values::value value_checker::defaultOf(const key_spec &Spec) {
  toml::table Parsed = toml::parse("x = " + std::string(Spec.Default));
  std::optional<checked_values::value> Value = check(*Parsed.get("x"), Spec);
  return Value ? std::move(*Value) : checked_values::value();
}

void value_checker::add(unsigned Line, std::string_view Key, std::string Found,
                        std::string Expected) {
  Problems.push_back(
      {Source, Line, std::string(Key), std::move(Found), std::move(Expected)});
}
