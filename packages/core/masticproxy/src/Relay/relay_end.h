#ifndef MASTICPROXY_RELAY_RELAY_END_H
#define MASTICPROXY_RELAY_RELAY_END_H

#include "masticproxy/src/Relay/relay_refusal.h"

#include <string_view>

namespace masticproxy {

enum class attempt_failure;

/// \brief How a relayed attempt ended without a result, as its origin sees it.
enum class relay_end {
  /// The frame was never written: a ring or queue was full, the connection
  /// could not be opened, or the time was over.
  NotSent,
  /// The other VM says that it did not run the attempt.
  Refused,
  /// The other VM holds another snapshot and did not run the attempt.
  RefusedSnapshot,
  /// The other VM is leaving and did not run the attempt.
  RefusedLeaving,
  /// The other VM says that the attempt may have run.
  Unknown,
  /// The connection ended after the frame had left.
  ConnectionLost,
  /// The other VM gave no sign of life after the frame had left.
  Silent,
};

/// \returns what \p End says of the attempt.
attempt_failure attemptFailureOf(relay_end End);

/// \returns how a refusal for \p Reason ends the attempt.
relay_end endOf(refusal_reason Reason);

/// \returns a short text for the time line.
std::string_view toString(relay_end End);

} // namespace masticproxy

#endif
