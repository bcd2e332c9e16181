#ifndef MASTICPROXY_POISON_RECENT_DEATHS_H
#define MASTICPROXY_POISON_RECENT_DEATHS_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Poison/query_fingerprint.h"

#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace masticproxy {

/// \brief The upstreams that died in the last moments, each with the queries
/// that it ran.
class recent_deaths {
public:
  explicit recent_deaths(const clock &Clock) : Clock(Clock) {}

  /// Records that \p Upstream died while it ran the query.
  void add(query_fingerprint Fingerprint, std::string_view Upstream);

  /// \returns whether several upstreams died that did not run the query. Their
  /// deaths have another cause, and so may have those of the query's
  /// upstreams.
  bool haveOtherCause(query_fingerprint Fingerprint) const;

private:
  struct death {
    std::string Upstream;
    time_point Time;
    std::vector<query_fingerprint> Queries;
  };

  void expire();

  const clock &Clock;
  std::deque<death> Deaths;
};

} // namespace masticproxy

#endif
