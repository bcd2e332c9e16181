#include "masticproxy/src/Ctl/time_text.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <string_view>

using namespace masticproxy;
using std::chrono::microseconds;

namespace {

constexpr std::size_t LongestText = 40;

/// \returns the number that \p Text begins with, of \p Least to \p Most digits,
/// and takes it off; nothing where there is none.
std::optional<int> takeNumber(std::string_view &Text, std::size_t Least,
                              std::size_t Most) {
  std::size_t Digits =
      std::min(Text.find_first_not_of("0123456789"), Text.size());
  if (Digits < Least || Digits > Most)
    return std::nullopt;
  int Number = 0;
  std::from_chars(Text.data(), Text.data() + Digits, Number);
  Text.remove_prefix(Digits);
  return Number;
}

/// Takes \p Separator and the number of two digits after it off \p Text.
std::optional<int> takePart(std::string_view &Text, char Separator) {
  if (!Text.starts_with(Separator))
    return std::nullopt;
  Text.remove_prefix(1);
  return takeNumber(Text, 2, 2);
}

/// \returns the microseconds in `.123Z` or `Z`.
std::optional<microseconds> readFraction(std::string_view Text) {
  if (Text == "Z")
    return microseconds(0);
  if (!Text.starts_with('.') || !Text.ends_with('Z'))
    return std::nullopt;
  std::string Digits(Text.substr(1, Text.size() - 2));
  bool Fits = !Digits.empty() && Digits.size() <= MicrosecondDigits;
  if (!Fits)
    return std::nullopt;
  Digits.resize(MicrosecondDigits, '0');
  std::string_view Rest = Digits;
  std::optional<int> Fraction =
      takeNumber(Rest, MicrosecondDigits, MicrosecondDigits);
  return Fraction ? std::optional(microseconds(*Fraction)) : std::nullopt;
}

} // namespace

std::optional<microseconds> masticproxy::readSpan(const std::string &Text) {
  std::string_view Unit = Text;
  // Nine digits of hours are within the range of microseconds.
  std::optional<int> Count = takeNumber(Unit, 1, 9);
  if (!Count)
    return std::nullopt;
  if (Unit == "ms")
    return std::chrono::milliseconds(*Count);
  if (Unit == "s")
    return std::chrono::seconds(*Count);
  if (Unit == "min")
    return std::chrono::minutes(*Count);
  if (Unit == "h")
    return std::chrono::hours(*Count);
  return std::nullopt;
}

std::optional<microseconds> masticproxy::readWallTime(const std::string &Text) {
  std::string_view Rest = Text;
  std::optional<int> Year = takeNumber(Rest, 4, 4);
  std::optional<int> Month = takePart(Rest, '-');
  std::optional<int> Day = takePart(Rest, '-');
  std::optional<int> Hour = takePart(Rest, 'T');
  std::optional<int> Minute = takePart(Rest, ':');
  std::optional<int> Second = takePart(Rest, ':');
  std::optional<microseconds> Fraction = readFraction(Rest);
  if (!Year || !Month || !Day || !Hour || !Minute || !Second || !Fraction)
    return std::nullopt;
  std::chrono::year_month_day Date(
      std::chrono::year(*Year),
      std::chrono::month(static_cast<unsigned>(*Month)),
      std::chrono::day(static_cast<unsigned>(*Day)));
  std::chrono::hours Hours(*Hour);
  std::chrono::minutes Minutes(*Minute);
  std::chrono::seconds Seconds(*Second);
  if (!Date.ok() || Hours >= std::chrono::days(1) ||
      Minutes >= std::chrono::hours(1) || Seconds >= std::chrono::minutes(1))
    return std::nullopt;
  return std::chrono::sys_days(Date).time_since_epoch() + Hours + Minutes +
         Seconds + *Fraction;
}

std::string masticproxy::wallTimeText(microseconds Time, std::size_t Digits) {
  auto Days = std::chrono::floor<std::chrono::days>(Time);
  std::chrono::year_month_day Date{std::chrono::sys_days(Days)};
  std::chrono::hh_mm_ss Clock(Time - Days);
  std::array<char, LongestText> Text{};
  std::snprintf(Text.data(), Text.size(), "%04d-%02u-%02uT%02d:%02d:%02d.%06d",
                static_cast<int>(Date.year()),
                static_cast<unsigned>(Date.month()),
                static_cast<unsigned>(Date.day()),
                static_cast<int>(Clock.hours().count()),
                static_cast<int>(Clock.minutes().count()),
                static_cast<int>(Clock.seconds().count()),
                static_cast<int>(Clock.subseconds().count()));
  std::string Whole = Text.data();
  return Whole.substr(0, Whole.size() - MicrosecondDigits + Digits) + "Z";
}
