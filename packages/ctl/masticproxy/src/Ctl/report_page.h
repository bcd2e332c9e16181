#ifndef MASTICPROXY_CTL_REPORT_PAGE_H
#define MASTICPROXY_CTL_REPORT_PAGE_H

#include <span>
#include <string>
#include <string_view>

namespace masticproxy {

struct vm_effect;

/// \returns the HTML of one profile: what its newest edit changed, since when,
/// and its requests before and after; "" where no VM remembers it.
std::string profileSection(const std::string &Name,
                           std::span<const vm_effect> Vms);

/// \returns a whole page of \p Sections; it needs no other file.
std::string reportPage(std::string_view Sections);

} // namespace masticproxy

#endif
