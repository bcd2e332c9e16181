#include "masticproxy/src/Harness/process_limits.h"

#include <sys/resource.h>

#include <cstdlib>

using namespace masticproxy;

namespace {

constexpr std::uint64_t SmallestVmBytes = 182ULL << 20U;
constexpr std::uint64_t SmallestVmDescriptors = 2870;

bool programsAreSanitized() {
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
  return true;
#else
  return std::getenv("MASTICPROXY_INSTRUMENTED_BIN") != nullptr;
#endif
}

void setLimit(__rlimit_resource Resource, std::optional<std::uint64_t> Most) {
  if (!Most)
    return;
  rlimit Limit{*Most, *Most};
  setrlimit(Resource, &Limit);
}

} // namespace

process_limits masticproxy::smallestVmLimits() {
  process_limits Limits;
  Limits.Descriptors = SmallestVmDescriptors;
  if (!programsAreSanitized())
    Limits.AddressSpaceBytes = SmallestVmBytes;
  return Limits;
}

void masticproxy::raiseDescriptorLimit() {
  rlimit Limit{};
  getrlimit(RLIMIT_NOFILE, &Limit);
  Limit.rlim_cur = Limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &Limit);
}

void masticproxy::apply(const process_limits &Limits) {
  setLimit(RLIMIT_AS, Limits.AddressSpaceBytes);
  setLimit(RLIMIT_NOFILE, Limits.Descriptors);
}
