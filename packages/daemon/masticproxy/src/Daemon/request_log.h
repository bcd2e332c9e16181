#ifndef MASTICPROXY_DAEMON_REQUEST_LOG_H
#define MASTICPROXY_DAEMON_REQUEST_LOG_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Base/token_bucket.h"
#include "masticproxy/src/Query/engine_command.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace masticproxy {

/// \brief Writes a line for each decision that touches a forwarded request and
/// that a caller may ask about; in all a bounded number of lines a second.
class request_log {
public:
  explicit request_log(const clock &Clock);

  /// Notes an attempt; a line is written where it is not the shard's first.
  void sent(const send_attempt &Command);

  /// Notes what becomes of an attempt; a line is written where it failed.
  void ended(const engine_event &Event);

  /// Writes the outcome of a request that was not answered in full.
  void delivered(const deliver_outcome &Command);

private:
  /// What is told of an open attempt.
  struct open_attempt {
    std::string RequestId;
    std::string Shard;
    std::string Upstream;
    time_point SentAt{};
  };

  void write(const std::string &Line);
  long long milliseconds(duration Span) const;

  const clock &Clock;
  token_bucket Budget;
  std::uint64_t LeftOut = 0;
  std::unordered_map<attempt_id, open_attempt> Open;
};

} // namespace masticproxy

#endif
