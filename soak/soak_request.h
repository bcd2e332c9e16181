#ifndef MASTICPROXY_SOAK_SOAK_REQUEST_H
#define MASTICPROXY_SOAK_SOAK_REQUEST_H

#include "masticproxy/src/Base/clock.h"

#include <string>

namespace masticproxy::soak {

/// \brief What a request asks for.
enum class request_kind {
  /// The greatest records of all shards.
  Merged,
  /// The same of as many shards as answer.
  Any,
  /// The response of one upstream; may be repeated.
  One,
  /// The response of one upstream; must not run twice.
  Once,
};

/// \returns whether requests of \p Kind go to all shards.
constexpr bool isMerged(request_kind Kind) {
  return Kind == request_kind::Merged || Kind == request_kind::Any;
}

/// \brief A request that a caller sent.
struct soak_request {
  std::string Id;
  std::string Method = "GET";
  std::string Target;
  request_kind Kind = request_kind::Merged;
  /// The configuration whose prefix a merged request uses.
  unsigned Version = 0;
  unsigned Vm = 0;
  /// Which start of the VM's process the connection leads to.
  unsigned Start = 0;
  time_point SentAt{};
};

} // namespace masticproxy::soak

#endif
