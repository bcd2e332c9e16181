#ifndef MASTICPROXY_RELAY_RELAY_REFUSAL_H
#define MASTICPROXY_RELAY_RELAY_REFUSAL_H

#include <cstdint>

namespace masticproxy {

/// \brief Why a VM did not run a relayed attempt.
enum class refusal_reason : std::uint8_t {
  /// It has as many attempts under way as it takes, or a ring is full.
  Overloaded,
  /// It is leaving.
  Leaving,
  /// It holds another snapshot of the index, or none.
  SnapshotUnknown,
  /// No upstream of its data centre took the attempt in time.
  NoUpstream,
};

/// \brief Says that a relayed attempt was not run by any upstream.
struct relay_refusal {
  std::uint64_t Attempt = 0;
  refusal_reason Reason = refusal_reason::Overloaded;

  bool operator==(const relay_refusal &) const = default;
};

} // namespace masticproxy

#endif
