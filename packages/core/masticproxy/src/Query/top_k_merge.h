#ifndef MASTICPROXY_QUERY_TOP_K_MERGE_H
#define MASTICPROXY_QUERY_TOP_K_MERGE_H

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace masticproxy {

/// Size of one record of a result in bytes.
inline constexpr std::size_t RecordBytes = 16;

/// \returns the \p Count greatest records of all \p Bodies, in descending
/// order. Records are compared as sequences of unsigned bytes. Equal records
/// are all kept; an incomplete record at the end of a body is ignored.
std::string mergeTopK(std::span<const std::string_view> Bodies,
                      std::size_t Count);

} // namespace masticproxy

#endif
