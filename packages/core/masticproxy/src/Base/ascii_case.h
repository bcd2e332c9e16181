#ifndef MASTICPROXY_BASE_ASCII_CASE_H
#define MASTICPROXY_BASE_ASCII_CASE_H

#include <string>

namespace masticproxy {

/// \returns \p Text with the letters A to Z in lower case, whatever the
/// locale.
std::string lowerCase(std::string Text);

} // namespace masticproxy

#endif
