#include "masticproxy/src/Net/boot_clock.h"

#include <ctime>

using namespace masticproxy;

time_point boot_clock::now() const {
  timespec Time{};
  if (clock_gettime(CLOCK_BOOTTIME, &Time) != 0)
    return os_clock::now();
  return time_point(std::chrono::seconds(Time.tv_sec) +
                    std::chrono::nanoseconds(Time.tv_nsec));
}
