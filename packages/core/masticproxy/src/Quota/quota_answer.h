#ifndef MASTICPROXY_QUOTA_QUOTA_ANSWER_H
#define MASTICPROXY_QUOTA_QUOTA_ANSWER_H

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace masticproxy {

/// \brief What a VM gets of one team's quota.
struct quota_answer_entry {
  std::string Team;
  /// Tokens for requests that wait, the most urgent first; unused ones are
  /// void.
  unsigned Granted = 0;
  /// Share that the VM holds from now on, in [0, 1].
  double Share = 0;
  /// Validity of that share, counted from when the ask was sent.
  std::chrono::milliseconds ShareFor{0};
  /// Time until the pool has a token again, if some that were wanted were not
  /// granted.
  std::chrono::milliseconds RetryAfter{0};
};

/// \brief The granter's answer to a quota_ask.
struct quota_answer {
  std::uint64_t Term = 0;
  std::vector<quota_answer_entry> Entries;
};

} // namespace masticproxy

#endif
