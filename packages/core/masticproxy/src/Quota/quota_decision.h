#ifndef MASTICPROXY_QUOTA_QUOTA_DECISION_H
#define MASTICPROXY_QUOTA_QUOTA_DECISION_H

#include <chrono>
#include <cstdint>
#include <variant>

namespace masticproxy {

/// \brief The request has a token, or its team has no limit.
struct quota_taken {};

/// \brief The request is beyond its team's quota.
struct quota_exceeded {
  /// Time until a token is expected.
  std::chrono::milliseconds RetryAfter{0};
};

/// \brief The granter is asked for a token.
struct quota_pending {};

/// \brief What a quota_holder decides about a request.
using quota_decision = std::variant<quota_taken, quota_exceeded, quota_pending>;

/// \brief The end of the wait of a request.
struct quota_resolution {
  std::uint64_t Ticket = 0;
  bool Granted = false;
  /// If it was not granted: time until a token is expected.
  std::chrono::milliseconds RetryAfter{0};
};

} // namespace masticproxy

#endif
