#include "masticproxy/src/Settings/ascii_text.h"

#include <boost/regex/pending/unicode_iterator.hpp>

#include <array>
#include <cstdio>

using namespace masticproxy;

namespace {

// toml++ 3.3 reaches undefined behaviour on some characters beyond ASCII that
// stand where none may, also within a quoted text that follows a fault. So it
// is given none. The scan goes line by line; texts over several lines would
// need a second state.

bool isAscii(char C) { return static_cast<unsigned char>(C) < 0x80U; }

bool opensSeveralLines(std::string_view Rest) {
  return Rest.starts_with("\"\"\"") || Rest.starts_with("'''");
}

/// Bytes of the character beyond ASCII at the front of \p Rest: the first byte
/// and all that continue it.
std::size_t characterLength(std::string_view Rest) {
  std::size_t Length = 1;
  while (Length < Rest.size() &&
         (static_cast<unsigned char>(Rest[Length]) & 0xC0U) == 0x80U)
    ++Length;
  return Length;
}

/// The TOML escape of one UTF-8 character, or "" where it is none.
std::string escapeOf(std::string_view Character) {
  using decoder = boost::u8_to_u32_iterator<std::string_view::const_iterator>;
  try {
    decoder At(Character.begin(), Character.begin(), Character.end());
    std::array<char, 16> Escape{};
    std::snprintf(Escape.data(), Escape.size(), "\\U%08X", *At);
    return Escape.data();
  } catch (const std::out_of_range &) {
    return {};
  }
}

/// \brief Rewrites one line; what is wrong with it stays in Fault.
struct line_rewriter {
  std::string_view Line;
  std::string Out = {};
  std::string_view Fault = {};
  char Quote = 0;
  bool Comment = false;

  void run() {
    while (!Line.empty() && Fault.empty()) {
      if (isAscii(Line.front()))
        takeAscii();
      else
        takeBeyondAscii();
    }
  }

  void takeAscii() {
    char C = Line.front();
    if (Quote == 0 && !Comment && opensSeveralLines(Line))
      Fault = "a text over several lines";
    bool Escaped =
        Quote == '"' && C == '\\' && Line.size() > 1 && isAscii(Line[1]);
    if (Quote == 0 && !Comment && C == '#')
      Comment = true;
    else if (Quote == 0 && !Comment && (C == '"' || C == '\''))
      Quote = C;
    else if (Quote != 0 && C == Quote)
      Quote = 0;
    move(Escaped ? 2 : 1);
  }

  void takeBeyondAscii() {
    std::size_t Length = characterLength(Line);
    std::string Escape = escapeOf(Line.substr(0, Length));
    if (Comment)
      Escape.clear();
    else if (Quote != '"' || Escape.empty())
      Fault = "a character beyond ASCII outside a text in double quotes";
    Out += Escape;
    Line.remove_prefix(Length);
  }

  void move(std::size_t Count) {
    Out += Line.substr(0, Count);
    Line.remove_prefix(Count);
  }
};

} // namespace

ascii_text masticproxy::toAscii(std::string_view Text,
                                std::string_view Source) {
  ascii_text Result;
  for (unsigned Number = 1; !Text.empty(); ++Number) {
    std::string_view Line = Text.substr(0, Text.find('\n'));
    line_rewriter Rewriter{Line};
    Rewriter.run();
    if (!Rewriter.Fault.empty())
      Result.Problems.push_back(
          {std::string(Source), Number, "", std::string(Rewriter.Fault),
           "such characters in a text in double quotes on one line"});
    Result.Text += Rewriter.Out;
    bool Ended = Line.size() < Text.size();
    if (Ended)
      Result.Text.push_back('\n');
    Text.remove_prefix(Line.size() + (Ended ? 1 : 0));
  }
  return Result;
}
