#ifndef MASTICPROXY_CTL_TIME_TEXT_H
#define MASTICPROXY_CTL_TIME_TEXT_H

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

namespace masticproxy {

/// \returns the span that \p Text names: a whole number and `ms`, `s`, `min` or
/// `h`; nothing where it names none.
std::optional<std::chrono::microseconds> readSpan(const std::string &Text);

/// \returns the wall time, since 1970, that \p Text names: as in
/// `2026-12-04T11:30:00Z`, with up to six decimals; nothing where it names
/// none.
std::optional<std::chrono::microseconds> readWallTime(const std::string &Text);

/// Decimals of a second in a wall time to the microsecond.
inline constexpr std::size_t MicrosecondDigits = 6;

/// \returns \p Time, since 1970, as readWallTime() reads it, cut off after
/// \p Digits decimals, of which there are 1 to MicrosecondDigits.
std::string wallTimeText(std::chrono::microseconds Time,
                         std::size_t Digits = MicrosecondDigits);

} // namespace masticproxy

#endif
