#ifndef MASTICPROXY_BASE_JSON_TEXT_H
#define MASTICPROXY_BASE_JSON_TEXT_H

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace masticproxy {

/// Deepest nesting of a JSON text that this system reads.
inline constexpr std::size_t MaxJsonDepth = 64;

/// \returns how deep arrays and objects of the JSON text \p Text are nested.
std::size_t jsonDepth(std::string_view Text);

/// \returns the text of the value of \p Key in the JSON object \p Text, or
/// nothing if \p Text is no object or lacks the key. The value itself is not
/// checked.
std::optional<std::string_view> jsonMember(std::string_view Text,
                                           std::string_view Key);

/// \returns the texts of the elements of the JSON array \p Text, or nothing if
/// \p Text is no array. The elements themselves are not checked.
std::optional<std::vector<std::string_view>>
jsonElements(std::string_view Text);

} // namespace masticproxy

#endif
