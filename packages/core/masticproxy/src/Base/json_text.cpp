#include "masticproxy/src/Base/json_text.h"

#include <algorithm>

using namespace masticproxy;

namespace {

constexpr std::string_view Blanks = " \t\r\n";

bool opens(char C) { return C == '{' || C == '['; }
bool closes(char C) { return C == '}' || C == ']'; }

/// \brief Goes through a JSON text by its punctuation, without recursion, so
/// that neither nesting nor what stands in a value can harm the reader.
class json_scanner {
public:
  explicit json_scanner(std::string_view Text) : Text(Text) {}

  void skipBlanks() {
    At = std::min(Text.find_first_not_of(Blanks, At), Text.size());
  }

  /// Steps over \p C and the blanks before it. \returns whether it was there.
  bool take(char C) {
    skipBlanks();
    if (At == Text.size() || Text[At] != C)
      return false;
    ++At;
    return true;
  }

  /// Steps over one value. \returns its text, which is empty at the end of an
  /// array or object, and where the text ends within the value.
  std::string_view value() {
    skipBlanks();
    std::size_t Start = At;
    std::size_t Depth = 0;
    while (At < Text.size()) {
      char C = Text[At];
      if (Depth == 0 && (C == ',' || closes(C)))
        break;
      Depth += opens(C) ? 1 : 0;
      Depth -= closes(C) ? 1 : 0;
      Deepest = std::max(Deepest, Depth);
      skipOne();
    }
    if (Depth > 0 || InString)
      return {};
    std::string_view Value = Text.substr(Start, At - Start);
    return Value.substr(0, Value.find_last_not_of(Blanks) + 1);
  }

  /// Steps over a string and the colon after it. \returns the string without
  /// its quotes, or nothing.
  std::optional<std::string_view> key() {
    skipBlanks();
    if (At == Text.size() || Text[At] != '"')
      return std::nullopt;
    std::size_t Start = At + 1;
    skipOne();
    if (InString)
      return std::nullopt;
    std::string_view Key = Text.substr(Start, At - 1 - Start);
    return take(':') ? std::optional(Key) : std::nullopt;
  }

  bool atEnd() {
    skipBlanks();
    return At == Text.size();
  }

  std::size_t deepest() const { return Deepest; }

private:
  /// Steps over a string, or over one other character.
  void skipOne() {
    if (Text[At++] != '"')
      return;
    while (At < Text.size() && Text[At] != '"')
      At += Text[At] == '\\' ? 2 : 1;
    InString = At >= Text.size();
    At = std::min(At + 1, Text.size());
  }

  std::string_view Text;
  std::size_t At = 0;
  std::size_t Deepest = 0;
  /// The text ended within a string.
  bool InString = false;
};

} // namespace

std::size_t masticproxy::jsonDepth(std::string_view Text) {
  json_scanner Scanner(Text);
  Scanner.value();
  return Scanner.deepest();
}

std::optional<std::string_view> masticproxy::jsonMember(std::string_view Text,
                                                        std::string_view Key) {
  json_scanner Scanner(Text);
  if (!Scanner.take('{'))
    return std::nullopt;
  do {
    std::optional<std::string_view> Name = Scanner.key();
    if (!Name)
      return std::nullopt;
    std::string_view Value = Scanner.value();
    if (Value.empty())
      return std::nullopt;
    if (*Name == Key)
      return Value;
  } while (Scanner.take(','));
  return std::nullopt;
}

std::optional<std::vector<std::string_view>>
masticproxy::jsonElements(std::string_view Text) {
  std::vector<std::string_view> Elements;
  json_scanner Scanner(Text);
  if (!Scanner.take('['))
    return std::nullopt;
  if (Scanner.take(']'))
    return Elements;
  do {
    Elements.push_back(Scanner.value());
    if (Elements.back().empty())
      return std::nullopt;
  } while (Scanner.take(','));
  bool Whole = Scanner.take(']') && Scanner.atEnd();
  return Whole ? std::optional(std::move(Elements)) : std::nullopt;
}
