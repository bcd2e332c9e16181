#ifndef MASTICPROXY_POISON_POISON_NOTICE_H
#define MASTICPROXY_POISON_POISON_NOTICE_H

#include "masticproxy/src/Poison/query_fingerprint.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace masticproxy {

/// \brief What one VM tells the others of its data centre about a query that
/// was in flight when upstreams died.
struct poison_notice {
  query_fingerprint Fingerprint = 0;
  /// Rounds of deaths, each begun after the one before was known.
  std::uint32_t Rounds = 0;
  /// Shard of the last death.
  std::string Shard;
  /// Time since the last death.
  std::chrono::milliseconds Age{0};

  bool operator==(const poison_notice &) const = default;
};

} // namespace masticproxy

#endif
