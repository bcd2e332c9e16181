#include "masticproxy/src/Ctl/time_text.h"

#include <array>
#include <cstdio>
#include <regex>

using namespace masticproxy;
using std::chrono::microseconds;

namespace {

constexpr std::size_t FractionDigits = 6;
constexpr std::size_t LongestText = 40;

int number(const std::ssub_match &Digits) { return std::stoi(Digits.str()); }

} // namespace

std::optional<microseconds> masticproxy::readSpan(const std::string &Text) {
  // Nine digits of hours are within the range of microseconds.
  static const std::regex Form("([0-9]{1,9})(ms|s|min|h)");
  std::smatch Parts;
  if (Text.size() > LongestText || !std::regex_match(Text, Parts, Form))
    return std::nullopt;
  std::int64_t Count = number(Parts[1]);
  std::string Unit = Parts[2];
  if (Unit == "ms")
    return std::chrono::milliseconds(Count);
  if (Unit == "s")
    return std::chrono::seconds(Count);
  if (Unit == "min")
    return std::chrono::minutes(Count);
  return std::chrono::hours(Count);
}

std::optional<microseconds> masticproxy::readWallTime(const std::string &Text) {
  static const std::regex Form(
      "([0-9]{4})-([0-9]{2})-([0-9]{2})T([0-9]{2}):([0-9]{2}):([0-9]{2})"
      "(?:\\.([0-9]{1,6}))?Z");
  std::smatch Parts;
  if (Text.size() > LongestText || !std::regex_match(Text, Parts, Form))
    return std::nullopt;
  std::chrono::year_month_day Date(
      std::chrono::year(number(Parts[1])),
      std::chrono::month(static_cast<unsigned>(number(Parts[2]))),
      std::chrono::day(static_cast<unsigned>(number(Parts[3]))));
  std::chrono::hours Hours(number(Parts[4]));
  std::chrono::minutes Minutes(number(Parts[5]));
  std::chrono::seconds Seconds(number(Parts[6]));
  if (!Date.ok() || Hours >= std::chrono::days(1) ||
      Minutes >= std::chrono::hours(1) || Seconds >= std::chrono::minutes(1))
    return std::nullopt;
  std::string Fraction = Parts[7];
  Fraction.resize(FractionDigits, '0');
  return std::chrono::sys_days(Date).time_since_epoch() + Hours + Minutes +
         Seconds + microseconds(std::stoi(Fraction));
}

std::string masticproxy::wallTimeText(microseconds Time) {
  auto Days = std::chrono::floor<std::chrono::days>(Time);
  std::chrono::year_month_day Date{std::chrono::sys_days(Days)};
  std::chrono::hh_mm_ss Clock(Time - Days);
  std::array<char, LongestText> Text{};
  std::snprintf(Text.data(), Text.size(), "%04d-%02u-%02uT%02d:%02d:%02d.%06dZ",
                static_cast<int>(Date.year()),
                static_cast<unsigned>(Date.month()),
                static_cast<unsigned>(Date.day()),
                static_cast<int>(Clock.hours().count()),
                static_cast<int>(Clock.minutes().count()),
                static_cast<int>(Clock.seconds().count()),
                static_cast<int>(Clock.subseconds().count()));
  return Text.data();
}
