#ifndef MASTICPROXY_RELAY_RELAY_RESULT_H
#define MASTICPROXY_RELAY_RELAY_RESULT_H

#include "masticproxy/src/Query/partial_answer.h"

#include <cstdint>

namespace masticproxy {

/// \brief The result of a relayed attempt, not yet checked by the origin.
struct relay_result {
  std::uint64_t Attempt = 0;
  upstream_result Result;
};

} // namespace masticproxy

#endif
