#ifndef MASTICPROXY_DAEMON_PENDING_IDS_H
#define MASTICPROXY_DAEMON_PENDING_IDS_H

#include "masticproxy/src/Base/clock.h"

#include <cstddef>
#include <string>
#include <unordered_map>

namespace masticproxy {

/// \brief The ids of requests, each kept until its request's deadline.
class pending_ids {
public:
  /// Keeps \p Id until \p Deadline, and forgets those whose deadline is past
  /// at \p Now.
  void add(const std::string &Id, time_point Deadline, time_point Now);

  /// \returns whether \p Id was added and is not forgotten.
  bool contains(const std::string &Id) const {
    return !Deadlines.empty() && Deadlines.contains(Id);
  }

private:
  std::unordered_map<std::string, time_point> Deadlines;
  /// The ids are searched for expired ones when there are so many.
  std::size_t NextSearch = 0;
};

} // namespace masticproxy

#endif
