#ifndef MASTICPROXY_CTL_WATERFALL_TEXT_H
#define MASTICPROXY_CTL_WATERFALL_TEXT_H

#include <cstdint>
#include <optional>
#include <string>

namespace masticproxy {

struct fan_out;

/// \returns \p Request as a table with a bar for each attempt.
std::string waterfallText(const fan_out &Request);

/// \returns a line that says what became of \p Request.
std::string waterfallTitle(const fan_out &Request);

/// \returns a line that names the VMs without events, or "".
std::string missingText(const fan_out &Request);

/// \returns \p Microseconds as milliseconds, `?` where there are none.
std::string millisecondsText(std::optional<std::int64_t> Microseconds);

} // namespace masticproxy

#endif
