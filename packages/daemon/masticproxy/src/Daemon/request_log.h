#ifndef MASTICPROXY_DAEMON_REQUEST_LOG_H
#define MASTICPROXY_DAEMON_REQUEST_LOG_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Base/token_bucket.h"
#include "masticproxy/src/Query/engine_command.h"

#include <cstdint>
#include <string>

namespace masticproxy {

struct ended_attempt;

/// \brief Writes a line for each decision that touches a forwarded request and
/// that a caller may ask about; in all a bounded number of lines a second.
class request_log {
public:
  explicit request_log(const clock &Clock);

  /// Writes an attempt that is not the shard's first.
  void sent(const send_attempt &Command);

  /// Writes an attempt that ended without an answer.
  void ended(const ended_attempt &Attempt);

  /// Writes the outcome of a request that was not answered in full.
  void delivered(const deliver_outcome &Command);

private:
  void write(const std::string &Line);

  token_bucket Budget;
  std::uint64_t LeftOut = 0;
};

} // namespace masticproxy

#endif
