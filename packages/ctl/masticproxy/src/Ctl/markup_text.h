#ifndef MASTICPROXY_CTL_MARKUP_TEXT_H
#define MASTICPROXY_CTL_MARKUP_TEXT_H

#include <string>
#include <string_view>

namespace masticproxy {

/// \returns \p Text with the characters escaped that HTML and XML give a
/// meaning.
std::string markupText(std::string_view Text);

} // namespace masticproxy

#endif
