#ifndef MASTICPROXY_RELAY_RELAY_UNKNOWN_H
#define MASTICPROXY_RELAY_RELAY_UNKNOWN_H

#include <cstdint>

namespace masticproxy {

/// \brief Says that a relayed attempt may have run and has no result.
struct relay_unknown {
  std::uint64_t Attempt = 0;

  bool operator==(const relay_unknown &) const = default;
};

} // namespace masticproxy

#endif
