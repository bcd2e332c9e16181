#ifndef MASTICPROXY_NET_PLATFORM_FRESHNESS_H
#define MASTICPROXY_NET_PLATFORM_FRESHNESS_H

#include "masticproxy/src/Net/copy_age.h"
#include "masticproxy/src/Net/known_revision.h"

namespace masticproxy {

/// \brief What the platform's heartbeat has shown, for all threads that follow
/// a kind of objects.
struct platform_freshness {
  known_revision Revision;
  copy_age Copies;
};

} // namespace masticproxy

#endif
