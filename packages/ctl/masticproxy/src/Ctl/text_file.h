#ifndef MASTICPROXY_CTL_TEXT_FILE_H
#define MASTICPROXY_CTL_TEXT_FILE_H

#include <string>
#include <string_view>

namespace masticproxy {

/// Writes \p Text to the file \p Path. \throws ctl_error where it can't.
void writeTextFile(const std::string &Path, std::string_view Text);

} // namespace masticproxy

#endif
