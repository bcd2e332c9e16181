#ifndef MASTICPROXY_SETTINGS_SETTINGS_REFERENCE_H
#define MASTICPROXY_SETTINGS_SETTINGS_REFERENCE_H

#include <string>

namespace masticproxy {

/// \returns the reference page of all keys, in Markdown.
std::string settingsReference();

} // namespace masticproxy

#endif
