#ifndef MASTICPROXY_SETTINGS_ADDRESS_TEXT_H
#define MASTICPROXY_SETTINGS_ADDRESS_TEXT_H

#include <string_view>

namespace masticproxy {

/// \returns whether \p Text is an IP number and port, as in `127.0.0.1:8080`
/// or `[::1]:8080`.
bool isAddressText(std::string_view Text);

} // namespace masticproxy

#endif
