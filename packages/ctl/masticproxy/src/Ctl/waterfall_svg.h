#ifndef MASTICPROXY_CTL_WATERFALL_SVG_H
#define MASTICPROXY_CTL_WATERFALL_SVG_H

#include <string>
#include <string_view>

namespace masticproxy {

struct fan_out;

/// \returns \p Request as an SVG picture that needs no other file.
std::string waterfallSvg(const fan_out &Request);

/// \returns \p Text as the content of an XML element or attribute.
std::string xmlEscaped(std::string_view Text);

} // namespace masticproxy

#endif
