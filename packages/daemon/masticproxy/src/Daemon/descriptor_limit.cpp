#include "masticproxy/src/Daemon/descriptor_limit.h"

#include <sys/resource.h>

#include <algorithm>
#include <cstdint>

using namespace masticproxy;

namespace {

/// For files, pages, the platform and other VMs.
constexpr std::size_t Reserved = 456;

/// Part of the others that callers may take, in thirds; upstreams have the
/// rest.
constexpr std::size_t CallersThirds = 2;

} // namespace

std::size_t masticproxy::callerConnectionsFor(std::size_t Descriptors,
                                              std::size_t Wanted) {
  // With very few, a part of all.
  std::size_t Left =
      Descriptors > 2 * Reserved ? Descriptors - Reserved : Descriptors / 2;
  return std::clamp<std::size_t>(Left / 3 * CallersThirds, 1, Wanted);
}

std::size_t masticproxy::descriptorLimit() {
  rlimit Limit{};
  if (getrlimit(RLIMIT_NOFILE, &Limit) != 0)
    return SIZE_MAX;
  return Limit.rlim_cur;
}
