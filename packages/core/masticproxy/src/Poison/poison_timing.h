#ifndef MASTICPROXY_POISON_POISON_TIMING_H
#define MASTICPROXY_POISON_POISON_TIMING_H

#include <chrono>

namespace masticproxy {

/// \brief How long what is known of a query lasts.
struct poison_timing {
  /// Time without a further death after which a suspicion ends.
  std::chrono::milliseconds SuspectFor = std::chrono::minutes(30);
  /// Time after the last death in which a condemned query is refused; after it
  /// the query is a suspect again.
  std::chrono::milliseconds CondemnFor = std::chrono::minutes(5);
};

} // namespace masticproxy

#endif
