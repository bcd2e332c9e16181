#include "masticproxy/src/Claims/request_time.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <string>

using namespace masticproxy;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t UuidSize = 36;
constexpr std::size_t UuidVersionAt = 14;
/// Milliseconds of the years 2001 to 2286 have this many decimal digits.
constexpr std::size_t DecimalDigits = 13;
constexpr int Decimal = 10;
constexpr int Hexadecimal = 16;

std::optional<milliseconds> readNumber(std::string_view Digits, int Base) {
  std::int64_t Number = 0;
  const char *End = Digits.data() + Digits.size();
  auto [Stop, Error] = std::from_chars(Digits.data(), End, Number, Base);
  bool Whole = Error == std::errc() && Stop == End && Number >= 0;
  return Whole ? std::optional<milliseconds>(Number) : std::nullopt;
}

bool isUuid7(std::string_view Text) {
  if (Text.size() != UuidSize || Text[UuidVersionAt] != '7')
    return false;
  for (std::size_t I = 0; I < UuidSize; ++I) {
    bool Dash = I == 8 || I == 13 || I == 18 || I == 23;
    bool Hex = std::string_view("0123456789abcdefABCDEF").find(Text[I]) !=
               std::string_view::npos;
    if (Dash ? Text[I] != '-' : !Hex)
      return false;
  }
  return true;
}

} // namespace

std::optional<milliseconds>
masticproxy::requestTime(std::string_view RequestId) {
  if (isUuid7(RequestId)) {
    std::string Digits(RequestId.substr(0, 8));
    Digits += RequestId.substr(9, 4);
    return readNumber(Digits, Hexadecimal);
  }
  bool Prefixed =
      RequestId.size() > DecimalDigits + 1 && RequestId[DecimalDigits] == '-';
  if (!Prefixed)
    return std::nullopt;
  return readNumber(RequestId.substr(0, DecimalDigits), Decimal);
}

request_id_state masticproxy::judgeRequestId(std::string_view RequestId,
                                             std::chrono::microseconds Now,
                                             const claim_timing &Timing) {
  std::optional<milliseconds> Time = requestTime(RequestId);
  if (!Time)
    return request_id_state::WithoutTime;
  if (*Time > Now + Timing.MaxAhead)
    return request_id_state::Ahead;
  if (Now > *Time + Timing.MaxAge)
    return request_id_state::TooOld;
  return request_id_state::Usable;
}

bool masticproxy::claimIsObsolete(std::string_view RequestId,
                                  std::chrono::microseconds Now,
                                  const claim_timing &Timing) {
  std::optional<milliseconds> Time = requestTime(RequestId);
  // Once for this VM's own skew, once for that of the VM which judges the id.
  return Time && Now > *Time + Timing.MaxAge + 2 * Timing.MaxSkew;
}
