#ifndef MASTICPROXY_DAEMON_ATTEMPT_LOG_H
#define MASTICPROXY_DAEMON_ATTEMPT_LOG_H

#include "masticproxy/src/Base/clock.h"
#include "masticproxy/src/Net/timeline_event.h"
#include "masticproxy/src/Query/engine_event.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace masticproxy {

struct attempt_failed;

class event_log;
struct send_attempt;
struct send_relay;

/// \brief An attempt that has ended.
struct ended_attempt {
  std::string RequestId;
  event_facts Facts;
  /// From its sending to its end.
  duration Took{0};
};

/// \brief Writes the beginning and the end of each attempt to the time line.
class attempt_log {
public:
  attempt_log(const clock &Clock, event_log &Events)
      : Clock(Clock), Events(Events) {}

  /// Notes that an attempt begins.
  void sent(const send_attempt &Command);
  void sent(const send_relay &Command);

  /// Notes that the result of \p Attempt is not needed any more; what it ends
  /// with later is not noted.
  void cancelled(attempt_id Attempt);

  /// Notes \p Event where it ends an attempt. \returns that attempt.
  std::optional<ended_attempt> ended(const engine_event &Event);

  /// \returns the attempts that have begun and not ended.
  std::size_t open() const { return Open.size(); }

private:
  struct open_attempt {
    std::string RequestId;
    event_facts Facts;
    time_point SentAt{};
  };

  void begin(std::string_view Kind, std::string RequestId, event_facts Facts);
  std::optional<ended_attempt> end(attempt_id Attempt, std::string_view Kind,
                                   std::string_view End);

  const clock &Clock;
  event_log &Events;
  /// As many as the engine has under way, or fewer.
  std::unordered_map<attempt_id, open_attempt> Open;
};

/// \returns how \p Event ended its attempt, in a word.
std::string_view failureName(const attempt_failed &Event);

} // namespace masticproxy

#endif
