#ifndef MASTICPROXY_SETTINGS_ASCII_TEXT_H
#define MASTICPROXY_SETTINGS_ASCII_TEXT_H

#include "masticproxy/src/Settings/settings_problem.h"

#include <string>
#include <string_view>
#include <vector>

namespace masticproxy {

/// \brief A TOML text of ASCII characters that means what another one means.
struct ascii_text {
  std::string Text;
  /// What TOML 1.0 does not allow where it stands, or what no key needs.
  std::vector<settings_problem> Problems;
};

/// \returns \p Text, line for line, with characters beyond ASCII escaped in
/// quoted texts and left out of comments. They are a problem elsewhere, and so
/// is a text over several lines. \p Source names the text in problems.
ascii_text toAscii(std::string_view Text, std::string_view Source);

} // namespace masticproxy

#endif
