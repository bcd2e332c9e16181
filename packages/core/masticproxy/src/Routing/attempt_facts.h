#ifndef MASTICPROXY_ROUTING_ATTEMPT_FACTS_H
#define MASTICPROXY_ROUTING_ATTEMPT_FACTS_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Routing/attempt_kind.h"

#include <string_view>

namespace masticproxy {

/// \brief An attempt that has ended or was abandoned.
struct attempt_facts {
  std::string_view Upstream;
  std::string_view Index;
  attempt_kind Kind = attempt_kind::First;
  /// Time since it was sent.
  duration Age{0};
};

} // namespace masticproxy

#endif
