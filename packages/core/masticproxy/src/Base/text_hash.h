#ifndef MASTICPROXY_BASE_TEXT_HASH_H
#define MASTICPROXY_BASE_TEXT_HASH_H

#include <cstddef>
#include <functional>
#include <string_view>

namespace masticproxy {

/// \brief Hashes text, so that unordered containers with text as keys are
/// searched without a copy of it.
struct text_hash {
  using is_transparent = void;
  std::size_t operator()(std::string_view Text) const {
    return std::hash<std::string_view>()(Text);
  }
};

} // namespace masticproxy

#endif
