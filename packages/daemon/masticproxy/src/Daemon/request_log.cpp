#include "masticproxy/src/Daemon/request_log.h"

#include "masticproxy/src/Daemon/attempt_log.h"
#include "masticproxy/src/Daemon/daemon_log.h"
#include "masticproxy/src/Query/outcome_code.h"

using namespace masticproxy;

namespace {

/// Lines written in a burst, and the time in which one more is earned: under
/// load a VM writes at most 50 lines a second.
constexpr unsigned LineBurst = 100;
constexpr std::chrono::milliseconds LineInterval{20};

std::string joined(const std::vector<std::string> &Words) {
  std::string Text;
  for (const std::string &Word : Words)
    Text += (Text.empty() ? "" : ",") + Word;
  return Text.empty() ? "-" : Text;
}

/// Why a request was not answered, where the outcome says so.
struct reason_reader {
  std::string operator()(const not_run &Outcome) const {
    return Outcome.Reason;
  }
  std::string operator()(const outcome_unknown &Outcome) const {
    return Outcome.Reason;
  }
  template <typename Other> std::string operator()(const Other &) const {
    return "-";
  }
};

} // namespace

request_log::request_log(const clock &Clock)
    : Clock(Clock), Budget(Clock, LineInterval, LineBurst) {}

void request_log::sent(const send_attempt &Command) {
  if (!Command.Forwarded)
    return;
  Open.emplace(Command.Attempt, open_attempt{Command.RequestId, Command.Shard,
                                             Command.Upstream, Clock.now()});
  if (Command.Kind == attempt_kind::First)
    return;
  write("event=attempt_sent request=" + Command.RequestId +
        " kind=" + std::string(toString(Command.Kind)) +
        " shard=" + Command.Shard + " upstream=" + Command.Upstream +
        " instance=" + Command.Instance + " version=" + Command.Snapshot);
}

void request_log::ended(const engine_event &Event) {
  if (auto *Answered = std::get_if<attempt_answered>(&Event)) {
    Open.erase(Answered->Attempt);
    return;
  }
  auto *Failed = std::get_if<attempt_failed>(&Event);
  if (!Failed)
    return;
  auto Found = Open.find(Failed->Attempt);
  if (Found == Open.end())
    return;
  const open_attempt &Ended = Found->second;
  write("event=attempt_failed request=" + Ended.RequestId +
        " shard=" + Ended.Shard + " upstream=" + Ended.Upstream +
        " end=" + std::string(failureName(*Failed)) + " after_ms=" +
        std::to_string(milliseconds(Clock.now() - Ended.SentAt)));
  Open.erase(Found);
}

void request_log::delivered(const deliver_outcome &Command) {
  const query_account &Account = Command.Account;
  bool Full = std::holds_alternative<answered>(Command.Outcome) &&
              Account.Missing.empty();
  if (Full)
    return;
  write("event=request_ended request=" + Command.RequestId +
        " outcome=" + std::string(codeOf(Command.Outcome)) +
        " profile=" + (Account.Profile.empty() ? "-" : Account.Profile) +
        " took_ms=" + std::to_string(milliseconds(Account.Took)) +
        " shards=" + std::to_string(Account.Shards) +
        " attempts=" + std::to_string(Account.Attempts) +
        " missing=" + joined(Account.Missing) + " reason=\"" +
        std::visit(reason_reader{}, Command.Outcome) + "\"");
}

void request_log::write(const std::string &Line) {
  if (!Budget.take()) {
    ++LeftOut;
    return;
  }
  logInfo(LeftOut == 0 ? Line : Line + " left_out=" + std::to_string(LeftOut));
  LeftOut = 0;
}

long long request_log::milliseconds(duration Span) const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Span).count();
}
