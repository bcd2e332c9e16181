#ifndef MASTICPROXY_POISON_LOST_ATTEMPTS_H
#define MASTICPROXY_POISON_LOST_ATTEMPTS_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Poison/upstream_attempt.h"

#include <deque>
#include <functional>
#include <string_view>
#include <vector>

namespace masticproxy {

/// \brief The lost attempts of one VM, bounded in number and time: those that
/// ended without a response while it is not known whether their upstream still
/// lives.
class lost_attempts {
public:
  lost_attempts(const clock &Clock, duration KeepFor)
      : Clock(Clock), KeepFor(KeepFor) {}

  /// Adds an attempt; the oldest one is dropped if there are too many.
  void add(upstream_attempt Attempt);

  /// Removes the attempts at \p Process, which responded and so still lives.
  void removeAt(std::string_view Process);

  /// Removes the attempts that \p Condition holds for. \returns them.
  std::vector<upstream_attempt>
  takeIf(const std::function<bool(const upstream_attempt &)> &Condition);

  /// \returns whether an attempt of the query that started as a suspect is
  /// lost.
  bool hasSuspect(query_fingerprint Fingerprint) const;

  bool empty() const { return Attempts.empty(); }

private:
  void expire();

  const clock &Clock;
  duration KeepFor;
  /// In the order in which they were lost.
  std::deque<upstream_attempt> Attempts;
};

} // namespace masticproxy

#endif
