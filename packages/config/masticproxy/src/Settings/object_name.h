#ifndef MASTICPROXY_SETTINGS_OBJECT_NAME_H
#define MASTICPROXY_SETTINGS_OBJECT_NAME_H

#include <cstddef>
#include <string_view>

namespace masticproxy {

/// Longest name of a profile or an index, in bytes.
inline constexpr std::size_t MaxObjectNameBytes = 64;

/// What isObjectName() accepts, for messages.
inline constexpr std::string_view ObjectNameRule =
    "1 to 64 letters, digits, '-', '_' or '.', the first a letter or digit";

/// \returns whether \p Name may name a profile or an index.
bool isObjectName(std::string_view Name);

} // namespace masticproxy

#endif
