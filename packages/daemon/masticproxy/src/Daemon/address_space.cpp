#include "masticproxy/src/Daemon/address_space.h"

#include <malloc.h>
#include <pthread.h>

#include <cstddef>

using namespace masticproxy;

namespace {

/// By default each thread takes 8 MiB for its stack, and 64 MiB for an arena of
/// its own as soon as it allocates memory. A small VM whose processes have a
/// limit on their address space then can't start its threads.
constexpr std::size_t ThreadStackBytes = 1U << 20U;
constexpr int Arenas = 1;

} // namespace

void masticproxy::limitAddressSpace() {
  mallopt(M_ARENA_MAX, Arenas);
  pthread_attr_t Defaults;
  if (pthread_attr_init(&Defaults) != 0)
    return;
  // Where it fails, threads have the system's usual stacks.
  pthread_attr_setstacksize(&Defaults, ThreadStackBytes);
  pthread_setattr_default_np(&Defaults);
  pthread_attr_destroy(&Defaults);
}
