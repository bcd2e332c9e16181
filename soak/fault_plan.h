#ifndef MASTICPROXY_SOAK_FAULT_PLAN_H
#define MASTICPROXY_SOAK_FAULT_PLAN_H

#include "fault.h"

#include <vector>

namespace masticproxy::soak {

struct soak_options;

/// \returns the faults of a run against \p Upstreams upstreams, by time. They
/// come alone and in series, and overlap. The same seed gives the same plan.
std::vector<planned_fault> planFaults(const soak_options &Options,
                                      unsigned Upstreams);

} // namespace masticproxy::soak

#endif
