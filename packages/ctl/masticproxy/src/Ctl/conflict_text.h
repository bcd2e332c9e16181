#ifndef MASTICPROXY_CTL_CONFLICT_TEXT_H
#define MASTICPROXY_CTL_CONFLICT_TEXT_H

#include <optional>
#include <string>
#include <string_view>

namespace masticproxy {

struct platform_object;

/// \returns what an operator has to know of \p Current, which stands where
/// \p Yours was to be written: field by field for a profile, and what the
/// other changed where \p Before is known.
std::string conflictText(std::string_view Yours, const platform_object &Current,
                         const std::optional<platform_object> &Before);

} // namespace masticproxy

#endif
