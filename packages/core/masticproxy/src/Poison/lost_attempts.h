#ifndef MASTICPROXY_POISON_LOST_ATTEMPTS_H
#define MASTICPROXY_POISON_LOST_ATTEMPTS_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Poison/query_fingerprint.h"

#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace masticproxy {

/// \brief An attempt that ended without a response while it is not known
/// whether its upstream still lives.
struct lost_attempt {
  query_fingerprint Fingerprint = 0;
  /// Identity of the upstream's process.
  std::string Upstream;
  std::string Shard;
  time_point Started;
  time_point Lost;
  /// Whether the query was a suspect when the attempt started.
  bool Suspect = false;
};

/// \brief The lost attempts of one VM, bounded in number and time.
class lost_attempts {
public:
  lost_attempts(const clock &Clock, duration KeepFor)
      : Clock(Clock), KeepFor(KeepFor) {}

  /// Adds an attempt; the oldest one is dropped if there are too many.
  void add(lost_attempt Attempt);

  /// Removes the attempts at \p Upstream, which responded and so still lives.
  void removeAt(std::string_view Upstream);

  /// Removes the attempts at upstreams that \p Ended holds for. \returns them.
  std::vector<lost_attempt>
  takeAt(const std::function<bool(std::string_view)> &Ended);

  /// \returns whether an attempt of the query that started as a suspect is
  /// lost.
  bool hasSuspect(query_fingerprint Fingerprint) const;

  bool empty() const { return Attempts.empty(); }

private:
  void expire();

  const clock &Clock;
  duration KeepFor;
  /// In the order in which they were lost.
  std::deque<lost_attempt> Attempts;
};

} // namespace masticproxy

#endif
