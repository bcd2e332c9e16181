#ifndef MASTICPROXY_NET_BOOT_CLOCK_H
#define MASTICPROXY_NET_BOOT_CLOCK_H

#include "masticproxy/src/Net/os_clock.h"

namespace masticproxy {

/// \brief The operating system's clock whose instants also count the time in
/// which the machine was suspended, for leases that others rely on.
class boot_clock : public os_clock {
public:
  time_point now() const override;
};

} // namespace masticproxy

#endif
