#ifndef MASTICPROXY_BASE_COMMA_LIST_H
#define MASTICPROXY_BASE_COMMA_LIST_H

#include <string>
#include <vector>

namespace masticproxy {

/// \returns the parts of \p Text between its commas, empty ones too, but for
/// an empty one at the end.
std::vector<std::string> splitCommaList(const std::string &Text);

} // namespace masticproxy

#endif
