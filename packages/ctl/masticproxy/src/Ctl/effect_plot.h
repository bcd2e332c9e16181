#ifndef MASTICPROXY_CTL_EFFECT_PLOT_H
#define MASTICPROXY_CTL_EFFECT_PLOT_H

#include <string>

namespace masticproxy {

struct profile_effect;

/// \returns an SVG: the share of requests that took up to each latency.
std::string latencyPlot(const profile_effect &Effect);

/// \returns an SVG: bars of the mean coverage, the extra load, and the share
/// of requests that ended with each outcome and were refused for each reason.
std::string sharesPlot(const profile_effect &Effect);

} // namespace masticproxy

#endif
