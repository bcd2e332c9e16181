#ifndef MASTICPROXY_QUERY_GREATEST_RECORDS_H
#define MASTICPROXY_QUERY_GREATEST_RECORDS_H

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace masticproxy {

/// Bytes of one record of a result.
inline constexpr std::size_t RecordBytes = 16;

/// \returns the \p Count greatest records of \p Bodies, compared byte by byte,
/// the greatest first. Equal records all count; what is left of a body after
/// its last whole record is no record.
std::string greatestRecords(std::span<const std::string_view> Bodies,
                            std::size_t Count);

} // namespace masticproxy

#endif
