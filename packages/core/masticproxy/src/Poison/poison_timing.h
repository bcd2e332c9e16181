#ifndef MASTICPROXY_POISON_POISON_TIMING_H
#define MASTICPROXY_POISON_POISON_TIMING_H

#include <chrono>

namespace masticproxy {

/// \brief How long a query stays suspect or condemned.
struct poison_timing {
  /// Time after the last death for which a query stays suspect.
  std::chrono::milliseconds SuspectFor = std::chrono::minutes(30);
  /// Time after the last death for which a condemned query is refused; then the
  /// query is a suspect again.
  std::chrono::milliseconds CondemnFor = std::chrono::minutes(5);
};

} // namespace masticproxy

#endif
