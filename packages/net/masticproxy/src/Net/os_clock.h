#ifndef MASTICPROXY_NET_OS_CLOCK_H
#define MASTICPROXY_NET_OS_CLOCK_H

#include "masticproxy/src/Base/clock.h"

namespace masticproxy {

/// \brief The operating system's clock.
class os_clock : public clock {
public:
  time_point now() const override { return std::chrono::steady_clock::now(); }

  std::chrono::microseconds wallTime() const override {
    return std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::system_clock::now().time_since_epoch());
  }
};

} // namespace masticproxy

#endif
