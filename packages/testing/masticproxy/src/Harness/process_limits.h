#ifndef MASTICPROXY_HARNESS_PROCESS_LIMITS_H
#define MASTICPROXY_HARNESS_PROCESS_LIMITS_H

#include <cstdint>
#include <optional>

namespace masticproxy {

/// \brief What a child process may use at most; empty: as much as the test.
struct process_limits {
  std::optional<std::uint64_t> AddressSpaceBytes = {};
  std::optional<std::uint64_t> Descriptors = {};
};

/// \returns the limits of a process on the smallest entry VM of today's
/// deployments. Programs that run under a sanitizer get all the address space,
/// of which a sanitizer takes terabytes.
process_limits smallestVmLimits();

/// Lets this process open as many descriptors as it may at most.
void raiseDescriptorLimit();

/// Applies \p Limits to this process.
void apply(const process_limits &Limits);

} // namespace masticproxy

#endif
